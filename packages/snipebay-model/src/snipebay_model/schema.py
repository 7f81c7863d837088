"""Validates YAML nodes against attrs classes and builds instances of them."""

import ipaddress

import attrs

__all__ = [
    "build",
    "choice_field",
    "flag_field",
    "is_address",
    "list_field",
    "number_field",
    "text_field",
]

MAX_PORT_DIGITS = 5


def number_field(low, high, default, *, unit="", doc="", whole=True):
    """Return an attrs field for a number from ``low`` to ``high``."""
    return _field("int" if whole else "float", default, doc, unit, low=low, high=high)


def flag_field(default, *, doc=""):
    """Return an attrs field for a boolean."""
    return _field("bool", default, doc, "")


def choice_field(options, default, *, doc=""):
    """Return an attrs field for one of several strings."""
    return _field("choice", default, doc, "", options=options)


def text_field(default=attrs.NOTHING, *, doc="", form="word"):
    """Return an attrs field for a string.

    Args:
        default: Default value; without one the key is required.
        doc: Help text.
        form: ``word`` for a string that isn't blank, ``address`` for an IP
            address and port, or ``network`` for a network in CIDR form.
    """
    return _field(form, default, doc, "")


def list_field(*, doc="", form="word"):
    """Return an attrs field for a list of strings.

    Args:
        doc: Help text.
        form: Form of each item, as for :func:`text_field`.
    """
    return _field("list", attrs.Factory(tuple), doc, "", form=form)


def _field(kind, default, doc, unit, **metadata):
    metadata = {"kind": kind, "doc": doc, "unit": unit, **metadata}
    return attrs.field(default=default, metadata=metadata, kw_only=True)


def build(cls, node, path, findings, *, extra=()):
    """Return an instance of ``cls`` built from a mapping node, or None on error.

    Args:
        cls: attrs class whose fields were made by this module.
        node: Node to read.
        path: Path of the node in the tree.
        findings: Collects all errors.
        extra: Keys that the caller reads itself.
    """
    values = read_fields(cls, node, path, findings, extra=extra)
    if values is None:
        return None
    missing = [
        field.name
        for field in attrs.fields(cls)
        if field.default is attrs.NOTHING
        and field.name not in values
        and field.name not in extra
    ]
    for name in missing:
        findings.add(node, (*path, name), f"missing key {name!r}")
    return None if missing else cls(**values)


def read_fields(cls, node, path, findings, *, extra=()):
    """Return the valid values of a mapping node by key, or None for other nodes."""
    if not node.is_mapping:
        findings.add(node, path, f"expected a mapping, got {node.plain!r}")
        return None
    fields = {field.name: field for field in attrs.fields(cls) if field.metadata}
    values = {}
    for key, child in node.value.items():
        if key in extra:
            continue
        if key not in fields:
            known = {*fields, *extra}
            findings.add_unknown_key(node.key_nodes[key], path, key, known)
            continue
        problem = _check_value(fields[key].metadata, child)
        if problem:
            findings.add(child, (*path, key), problem)
        else:
            values[key] = _convert_value(fields[key].metadata, child)
    return values


def _convert_value(metadata, node):
    """Return the Python value of a node that passed its check."""
    if metadata["kind"] == "list":
        return tuple(child.value for child in node.value)
    return float(node.value) if metadata["kind"] == "float" else node.value


def _check_value(metadata, node):
    """Return the error of a node, or an empty string."""
    return _CHECKS[metadata["kind"]](metadata, node)


def _check_number(metadata, node):
    kinds = (int,) if metadata["kind"] == "int" else (int, float)
    value = node.value
    if isinstance(value, bool) or not isinstance(value, kinds):
        expected = "a whole number" if metadata["kind"] == "int" else "a number"
        return f"expected {expected}, got {node.plain!r}"
    if not metadata["low"] <= value <= metadata["high"]:
        unit = f" {metadata['unit']}" if metadata["unit"] else ""
        return f"{value!r} is not within {metadata['low']} to {metadata['high']}{unit}"
    return ""


def _check_bool(metadata, node):
    if isinstance(node.value, bool):
        return ""
    return f"expected true or false, got {node.plain!r}"


def _check_choice(metadata, node):
    if node.value in metadata["options"]:
        return ""
    return f"expected one of {', '.join(metadata['options'])}, got {node.plain!r}"


def _check_word(metadata, node):
    if isinstance(node.value, str) and node.value.strip():
        return ""
    return f"expected a non-empty string, got {node.plain!r}"


def is_address(value):
    """Return True for ``host:port`` with an IP address as host."""
    host, _, port = str(value).rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    return is_number and 0 < int(port) < 65536


def _check_address(metadata, node):
    if is_address(node.value):
        return ""
    return f"expected an IP number and port, got {node.plain!r}"


def _check_network(metadata, node):
    try:
        ipaddress.ip_network(node.value)
    except (ValueError, TypeError):
        return f"expected a block such as 10.1.0.0/16, got {node.plain!r}"
    return ""


def _check_list(metadata, node):
    if not node.is_sequence:
        return f"expected a list, got {node.plain!r}"
    problems = [_CHECKS[metadata["form"]](metadata, child) for child in node.value]
    return next((problem for problem in problems if problem), "")


_CHECKS = {
    "int": _check_number,
    "float": _check_number,
    "bool": _check_bool,
    "choice": _check_choice,
    "word": _check_word,
    "address": _check_address,
    "network": _check_network,
    "list": _check_list,
}
