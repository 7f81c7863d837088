"""Checks that all instances can apply a plan with workspaces before it is accepted."""

from snipebay_model.messages import ApplyWorkspacePlan, Outcome

__all__ = ["workspace_refusal"]

# Further ids are only counted in the answer to the operator.
MAX_LISTED_IDS = 8


def workspace_refusal(cmd, raft, state, sessions, now_s):
    """Return the outcome of a command that an instance could not apply, or None.

    An older build would serve the routes without asking for keys, or stop at the log
    entry. Once a plan with workspaces is in force, no older build holds one without.

    Args:
        cmd: A valid command.
        raft: :class:`Raft` of the leader.
        state: Replicated state.
        sessions: :class:`Sessions` of the leader.
        now_s: Time.
    """
    if not isinstance(cmd, ApplyWorkspacePlan) or state.has_workspaces:
        return None
    older = sessions.without_workspaces(state, now_s)
    older += [node for node in sorted(raft.members) if not raft.reads_workspaces(node)]
    if not older:
        return None
    listed = ", ".join(older[:MAX_LISTED_IDS])
    detail = f"{len(older)} instances may not read workspaces yet: {listed}"
    return Outcome("busy", detail=detail)
