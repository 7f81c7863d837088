"""Status of the system for operators."""

import attrs

from snipebay_model.view import BackendRow, EntryRow

__all__ = ["ChangeStatus", "ClusterStatus", "EntryStatus", "MemberStatus"]


@attrs.frozen
class MemberStatus:
    """A control instance as the leader sees it.

    Attributes:
        node: Node name, ``id#incarnation``.
        voter: True when it votes in elections and on commits.
        match_index: Last log index known to be stored there.
        heard: True when it replied to the leader within the minimum election
            timeout.
    """

    node: str
    voter: bool
    match_index: int
    heard: bool


@attrs.frozen
class EntryStatus:
    """An entry instance and what it last reported.

    Attributes:
        row: Its row in the routing table.
        applied: View revision that it has applied, 0 before its first report.
        settled: Newest view revision whose slot assignment is complete there.
        in_flight: Open requests by service; see ``load_reports`` of
            :class:`snipebay_model.messages.Renew`.
    """

    row: EntryRow
    applied: int
    settled: int
    in_flight: dict[str, int]


@attrs.frozen
class ChangeStatus:
    """An accepted change of the settings.

    Attributes:
        revision: Settings revision that the change created.
        change_id: Id chosen by the operator's client.
        author: Who made the change.
        note: Why, in the author's words.
        at_ms: Time of the replicated state in Unix milliseconds.
        text: The settings tree after the change, as YAML.
    """

    revision: int
    change_id: str
    author: str
    note: str
    at_ms: int
    text: str


@attrs.frozen
class ClusterStatus:
    """State of the whole system at the leader.

    Attributes:
        leader: Id of the leader, which sent this.
        term: Its election term.
        commit: Index of the last committed log entry.
        revision: Newest view revision.
        settings_revision: Newest settings revision.
        in_force: Newest view revision that every entry instance has applied.
        claims: Number of idempotency keys stored.
        members: Control instances.
        entries: Entry instances.
        backends: Backend servers.
        drained: Ids of draining backend servers without requests from any entry
            instance.
    """

    leader: str
    term: int
    commit: int
    revision: int
    settings_revision: int
    in_force: int
    claims: int
    members: tuple[MemberStatus, ...]
    entries: tuple[EntryStatus, ...]
    backends: tuple[BackendRow, ...]
    drained: tuple[str, ...]
