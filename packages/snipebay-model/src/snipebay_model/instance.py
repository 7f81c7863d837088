"""Settings of one instance: identity, places, addresses and data folder."""

import attrs
from returns.result import Failure, Success

from snipebay_model.findings import Findings
from snipebay_model.schema import build, choice, names, number, text
from snipebay_model.yaml_source import parse_yaml

__all__ = ["InstanceSettings", "Peer", "parse_instance"]

LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen
class Peer:
    """A control instance as the others reach it."""

    id = text(doc="Instance id.")
    internal = text(form="address", doc="Address for other instances.")
    region = text(doc="Region it stands in.")


@attrs.frozen
class InstanceSettings:
    """Settings of one instance."""

    id = text(doc="Instance id, unique in the system.")
    region = text(doc="Region it stands in.")
    domain = text(doc="Failure domain it stands in.")
    roles = names(doc="Any of entry and control.")
    http = text(form="address", doc="Address for callers, backends and operators.")
    internal = text(form="address", doc="Address for other instances.")
    metrics = text(form="address", doc="Address for metrics and health.")
    data = text("", doc="Data folder, needed by the role control.")
    log_level = choice(LEVELS, "info", doc="Least level that is logged.")
    operator_token_file = text(
        "", doc="File with the token that operators must send, empty for none."
    )
    trace_file = text("", doc="File for spans as JSON lines, empty for none.")
    trace_share = number(
        0, 1, 0.01, whole=False, doc="Share of requests traced without being asked."
    )
    stop_timeout_s = number(
        1, 600, 30, unit="s", whole=False, doc="Longest graceful stop."
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
    top = parse_yaml(source_text, findings)
    if top is None:
        return Failure(findings)
    settings = build(InstanceSettings, top, (), findings, extra=("peers",))
    peers = _peers(top, findings) if top.is_mapping else ()
    if settings is not None:
        settings = attrs.evolve(settings, peers=peers)
        _check(settings, top, findings)
    return Failure(findings) if findings else Success(settings)


def _peers(top, findings):
    """Return the control instances listed."""
    node = top.value.get("peers")
    if node is None or not node.is_sequence:
        findings.add(node or top, ("peers",), "expected the list of control instances")
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
                f"instance id {peer.id!r} stands twice",
            )
    return peers


def _check(settings, top, findings):
    """Find roles, data folder and peers that don't fit together."""
    node = top.value.get("roles", top)
    if not settings.roles:
        findings.add(node, ("roles",), "expected at least one of entry, control")
    for role in settings.roles:
        if role not in ("entry", "control"):
            findings.add(node, ("roles",), f"unknown role {role!r}")
    listed = settings.id in [peer.id for peer in settings.peers]
    if settings.is_control and not settings.data:
        findings.add(top, ("data",), "the role control needs a data folder")
    if settings.is_control and not listed:
        findings.add(top, ("peers",), f"control instance {settings.id!r} is not listed")
