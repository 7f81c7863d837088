"""What the system tells operators about itself."""

import attrs

from snipebay_model.view import BackendRow, EntryRow

__all__ = ["ChangeStatus", "ClusterStatus", "EntryStatus", "MemberStatus"]


@attrs.frozen
class MemberStatus:
    """A control instance as the leader sees it."""

    node: str
    voter: bool
    match_index: int
    heard: bool


@attrs.frozen
class EntryStatus:
    """An entry instance and the revision that it has in force."""

    row: EntryRow
    applied: int
    settled: int
    in_flight: dict[str, int]


@attrs.frozen
class ChangeStatus:
    """An accepted change of the settings.

    Attributes:
        revision: Settings revision that it made.
        change_id: Id given by the operator's client.
        author: Who made it.
        note: Why, in the author's words.
        at_ms: Cluster time.
        text: Settings after the change.
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
        leader: Control instance that answered.
        term: Its term.
        commit: Last committed index of the log.
        revision: Newest view revision.
        settings_revision: Newest settings revision.
        in_force: Revision that every entry instance has in force.
        claims: Idempotency keys remembered.
        members: Control instances.
        entries: Entry instances.
        backends: Backend servers.
        drained: Leaving backend servers without work anywhere.
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
