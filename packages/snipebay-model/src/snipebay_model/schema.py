"""Checks YAML nodes against attrs classes and builds them."""

import ipaddress

import attrs

__all__ = ["build", "choice", "flag", "is_address", "names", "number", "text"]


def number(low, high, default, *, unit="", doc="", whole=True):
    """Return an attrs field for a number within bounds."""
    return _field("int" if whole else "float", default, doc, unit, low=low, high=high)


def flag(default, *, doc=""):
    """Return an attrs field for a truth value."""
    return _field("bool", default, doc, "")


def choice(options, default, *, doc=""):
    """Return an attrs field for one of several words."""
    return _field("choice", default, doc, "", options=options)


def text(default=attrs.NOTHING, *, doc="", form="word"):
    """Return an attrs field for a word, an address or a network."""
    return _field(form, default, doc, "")


def names(*, doc="", form="word"):
    """Return an attrs field for a list of words or addresses."""
    return _field("list", attrs.Factory(tuple), doc, "", form=form)


def _field(kind, default, doc, unit, **rule):
    rule = {"kind": kind, "doc": doc, "unit": unit, **rule}
    return attrs.field(default=default, metadata=rule, kw_only=True)


def build(cls, node, path, findings, *, extra=()):
    """Return an instance of ``cls`` from a mapping node, or None after findings.

    Args:
        cls: attrs class whose fields were made by this module.
        node: Node to read.
        path: Place of the node in the tree.
        findings: Takes every fault met.
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
    """Return the checked values that a mapping node sets, or None if no mapping."""
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
            findings.unknown_key(node.key_nodes[key], path, key, known)
            continue
        problem = _problem(fields[key].metadata, child)
        if problem:
            findings.add(child, (*path, key), problem)
        else:
            values[key] = _value(fields[key].metadata, child)
    return values


def _value(rule, node):
    """Return the Python value of a checked node."""
    if rule["kind"] == "list":
        return tuple(child.value for child in node.value)
    return float(node.value) if rule["kind"] == "float" else node.value


def _problem(rule, node):
    """Return what is wrong with a node, or an empty string."""
    return _CHECKS[rule["kind"]](rule, node)


def _number_problem(rule, node):
    kinds = (int,) if rule["kind"] == "int" else (int, float)
    value = node.value
    if isinstance(value, bool) or not isinstance(value, kinds):
        wanted = "a whole number" if rule["kind"] == "int" else "a number"
        return f"expected {wanted}, got {node.plain!r}"
    if not rule["low"] <= value <= rule["high"]:
        unit = f" {rule['unit']}" if rule["unit"] else ""
        return f"{value!r} is not within {rule['low']} to {rule['high']}{unit}"
    return ""


def _bool_problem(rule, node):
    if isinstance(node.value, bool):
        return ""
    return f"expected true or false, got {node.plain!r}"


def _choice_problem(rule, node):
    if node.value in rule["options"]:
        return ""
    return f"expected one of {', '.join(rule['options'])}, got {node.plain!r}"


def _word_problem(rule, node):
    if isinstance(node.value, str) and node.value.strip():
        return ""
    return f"expected a word, got {node.plain!r}"


def is_address(value):
    """Return True for ``host:port`` by IP number."""
    host, _, port = str(value).rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and 0 < int(port) < 65536


def _address_problem(rule, node):
    if is_address(node.value):
        return ""
    return f"expected an IP number and port, got {node.plain!r}"


def _network_problem(rule, node):
    try:
        ipaddress.ip_network(node.value)
    except (ValueError, TypeError):
        return f"expected a block such as 10.1.0.0/16, got {node.plain!r}"
    return ""


def _list_problem(rule, node):
    if not node.is_sequence:
        return f"expected a list, got {node.plain!r}"
    problems = [_CHECKS[rule["form"]](rule, child) for child in node.value]
    return next((problem for problem in problems if problem), "")


_CHECKS = {
    "int": _number_problem,
    "float": _number_problem,
    "bool": _bool_problem,
    "choice": _choice_problem,
    "word": _word_problem,
    "address": _address_problem,
    "network": _network_problem,
    "list": _list_problem,
}
