"""Cluster status as reported by the leader."""

from snipebay_model.node_names import instance_id_of
from snipebay_model.status import ClusterStatus, EntryStatus, MemberStatus

__all__ = ["cluster_status"]


def cluster_status(raft, state, sessions, now_s):
    """Return the status of members, entry instances and backend servers."""
    reports = sessions.reports
    return ClusterStatus(
        leader=instance_id_of(raft.leader),
        term=raft.term,
        commit=raft.commit_index,
        revision=state.revision,
        settings_revision=state.settings_revision,
        in_force=sessions.in_force(state),
        claims=len(state.claims.rows),
        members=tuple(
            MemberStatus(
                node,
                voter,
                raft.match_index(node),
                raft.acked_within(node, raft.timing.election_min_s),
            )
            for node, voter in sorted(raft.members.items())
        ),
        entries=tuple(
            EntryStatus(
                row,
                reports[entry_id].applied if entry_id in reports else 0,
                reports[entry_id].settled if entry_id in reports else 0,
                reports[entry_id].load_reports if entry_id in reports else {},
            )
            for entry_id, row in sorted(state.entries.items())
        ),
        backends=tuple(row for _, row in sorted(state.backends.items())),
        drained=sessions.drained(state, now_s),
    )
