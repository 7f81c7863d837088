"""Settings of one instance: identity, location, addresses and data folder."""

import attrs
from returns.result import Failure, Success

from snipebay_model.findings import Findings
from snipebay_model.schema import (
    build,
    choice_field,
    list_field,
    number_field,
    text_field,
)
from snipebay_model.yaml_source import parse_yaml

__all__ = ["InstanceSettings", "Peer", "parse_instance"]

LOG_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen
class Peer:
    """A control instance and how to reach it."""

    id = text_field(doc="Instance id.")
    internal = text_field(form="address", doc="Address for other instances.")
    region = text_field(doc="Region of the instance.")


@attrs.frozen
class InstanceSettings:
    """Settings of one instance.

    Attributes:
        peers: The control instances, as :class:`Peer`.
    """

    id = text_field(doc="Instance id, unique in the system.")
    region = text_field(doc="Region of the instance.")
    domain = text_field(doc="Failure domain of the instance.")
    roles = list_field(doc="Roles: entry, control or both.")
    http = text_field(
        form="address", doc="Address for callers, backends and operators."
    )
    internal = text_field(form="address", doc="Address for other instances.")
    metrics = text_field(form="address", doc="Address for metrics and health.")
    data = text_field("", doc="Data folder, required by the role control.")
    log_level = choice_field(LOG_LEVELS, "info", doc="Lowest level that is logged.")
    operator_token_file = text_field(
        "", doc="File with the token that operators must send, empty for none."
    )
    trace_file = text_field(
        "", doc="File for trace spans as JSON lines, empty for none."
    )
    trace_share = number_field(
        0, 1, 0.01, whole=False, doc="Share of requests traced that don't ask for it."
    )
    stop_timeout_s = number_field(
        1, 600, 30, unit="s", whole=False, doc="Timeout of a graceful shutdown."
    )
    peers = attrs.field(default=())

    @property
    def is_control(self):
        return "control" in self.roles

    @property
    def is_entry(self):
        return "entry" in self.roles


def parse_instance(source_text, source="instance.yaml"):
    """Return ``Success`` of instance settings, or ``Failure`` of all findings."""
    findings = Findings(source)
    root = parse_yaml(source_text, findings)
    if root is None:
        return Failure(findings)
    settings = build(InstanceSettings, root, (), findings, extra=("peers",))
    peers = _read_peers(root, findings) if root.is_mapping else ()
    if settings is not None:
        settings = attrs.evolve(settings, peers=peers)
        _check_consistency(settings, root, findings)
    return Failure(findings) if findings else Success(settings)


def _read_peers(root, findings):
    """Return the control instances listed under ``peers``."""
    node = root.value.get("peers")
    if node is None or not node.is_sequence:
        findings.add(node or root, ("peers",), "expected the list of control instances")
        return ()
    built = [
        build(Peer, child, ("peers", str(i)), findings)
        for i, child in enumerate(node.value)
    ]
    peers = tuple(peer for peer in built if peer is not None)
    ids = [peer.id for peer in peers]
    for i, peer in enumerate(peers):
        if peer.id in ids[:i]:
            findings.add(
                node.value[i],
                ("peers", str(i), "id"),
                f"duplicate instance id {peer.id!r}",
            )
    return peers


def _check_consistency(settings, root, findings):
    """Record unknown roles, and unmet requirements of the control role."""
    node = root.value.get("roles", root)
    if not settings.roles:
        findings.add(node, ("roles",), "expected at least one of entry, control")
    for role in settings.roles:
        if role not in ("entry", "control"):
            findings.add(node, ("roles",), f"unknown role {role!r}")
    is_listed = settings.id in [peer.id for peer in settings.peers]
    if settings.is_control and not settings.data:
        findings.add(root, ("data",), "the role control needs a data folder")
    if settings.is_control and not is_listed:
        findings.add(
            root, ("peers",), f"control instance {settings.id!r} is not listed"
        )
