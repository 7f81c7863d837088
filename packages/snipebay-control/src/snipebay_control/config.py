"""Settings of a control instance."""

import attrs

from snipebay_control.credit_board import QuotaRules
from snipebay_control.raft import RaftTiming
from snipebay_control.sessions import LeaseTiming

__all__ = ["ControlConfig"]


@attrs.frozen
class ControlConfig:
    """Settings of a control instance.

    Attributes:
        node: Name of this instance, ``id#incarnation``.
        peers: Ids of all control instances, this one included; with
            ``dynamic_membership`` only the seeds that are contacted first.
        raft: Timing of Raft.
        leases: Timing of the leases.
        quota: How strictly the limits of workspaces are kept.
        compact_entries: Number of entries that compaction is based on; the log is
            compacted when it has more than twice as many.
        compact_bytes: The log is also compacted when the applied entries have more
            bytes: each change of a long traffic plan is an entry of a megabyte.
        hello_interval_s: Interval between ``Hello`` messages of an instance
            without members.
        idle_clock_interval_s: Interval between clock commands while no
            idempotency key is stored.
        dynamic_membership: True if control instances beyond ``peers`` may join.
        unreachable_timeout_s: With ``dynamic_membership``, time of missed
            heartbeats after which a member is removed; longer than a machine
            takes to restart.
        initial_voters: Voters of the initial configuration. Each of them installs
            it on an empty disk, so that any majority of them can form the group.
            With ``dynamic_membership`` no unreachable voter is removed below
            their number.
    """

    node: str
    peers: tuple
    raft: RaftTiming = RaftTiming()
    leases: LeaseTiming = LeaseTiming()
    quota: QuotaRules = QuotaRules()
    compact_entries: int = 2_000
    compact_bytes: int = 8 * 1024 * 1024
    hello_interval_s: float = 0.2
    idle_clock_interval_s: float = 60.0
    dynamic_membership: bool = False
    unreachable_timeout_s: float = 15.0
    initial_voters: tuple = ()
