"""What a leader sends to entry instances: answers to renewals and pushed changes."""

import attrs
from snipebay_model.messages import CreditReply, PutEntry, RenewReply

__all__ = ["EntryReplies"]

# An instance that asked a control instance which doesn't lead asks again after this.
NOT_LEADER_DUE_MS = 200
# A new leader names itself this often to instances that have not asked it yet. Messages
# on a connection that has just failed are lost.
ANNOUNCEMENT_INTERVAL_S = 0.5


class EntryReplies:
    """Base class of a control instance that serves entry instances.

    A subclass must have the attributes of :class:`ControlCore` that are used here.
    """

    def _on_renew(self, sender, msg):
        """Answer a renewal, or keep it for the time when this instance leads."""
        if not self._may_serve:
            self._waiting_renewals.record(sender, msg, self._now_s)
            reply = RenewReply(self.leader_id, granted=False, controls=self.controls)
            self._outbox.append((sender, reply))
            return
        self.rate_limits.merge(msg.rate_limits, self.state.backends, self._now_s)
        if msg.reports_all_credit and msg.rate_limits_version[0] == self.raft.term:
            self.credits.record_complete(msg.row.entry_id)
        row = self.state.entries.get(msg.row.entry_id)
        known = row is not None and row.incarnation == msg.row.incarnation
        if known:
            self.sessions.renew(msg, self.state, self._now_s)
        refused = self._id_conflict(row, msg.row)
        if not refused:
            self._put_entry(row, msg.row)
        base = self._pacer.reply_base(
            msg.row, msg.applied, len(self.state.entries), self._now_s
        )
        if known or base < self.state.revision:
            self._pacer.record_sent(msg.row, self.state.revision, self._now_s)
        reply = self._renew_reply(
            msg.row.region,
            base,
            granted=known,
            sent_ms=msg.sent_ms,
            reads_plan_patches=msg.reads_plan_patches,
            reads_workspaces=msg.reads_workspaces,
        )
        limits = self.rate_limits.reports(msg.rate_limits_version, self._now_s)
        reply = attrs.evolve(
            reply,
            refused=refused,
            rate_limits=limits,
            rate_limits_version=self.rate_limits.version,
            credit_parts=self.credits.report(
                (msg.row.entry_id, msg.row.incarnation),
                msg.sent_ms,
                msg.credit_reports,
                self._now_s,
            ),
        )
        self._outbox.append((sender, reply))

    def _on_credit_request(self, sender, msg):
        """Grant or deny credit of a workspace to an entry instance."""
        if self._may_serve:
            reply = self.credits.request(sender, msg, self._now_s)
        else:
            reply = CreditReply(
                msg.request_id, msg.workspace, 0, NOT_LEADER_DUE_MS, is_known=False
            )
        self._outbox.append((sender, reply))

    def _id_conflict(self, old, row):
        """Return why an instance id can't be used by a row, or an empty string."""
        moved = old is not None and old.address != row.address
        if moved and self.sessions.is_live(old.entry_id, self._now_s):
            return f"instance id {row.entry_id!r} is in use at {old.address}"
        return ""

    def _put_entry(self, old, row):
        """Propose the row of an instance if it differs from the known one."""
        since = old.since_revision if old else 0
        if old != attrs.evolve(row, since_revision=since):
            self.sessions.grant_entry(row.entry_id, self._now_s)
            self._propose_once(PutEntry(row))

    def _renew_reply(
        self,
        region,
        base,
        *,
        granted,
        sent_ms=0,
        reads_plan_patches=False,
        reads_workspaces=False,
    ):
        reads = {"reads_workspaces": reads_workspaces}
        packed = self.state.packed_delta(base, **reads) if reads_plan_patches else b""
        return RenewReply(
            leader=self.leader_id,
            granted=granted,
            sent_ms=sent_ms,
            lease_ms=int(self.cfg.leases.entry_lease_s * 1_000),
            settled_floor=self._settled(region),
            quorum_revision=self.state.revision,
            delta=(
                None
                if packed
                else self.state.delta(
                    base, reads_plan_patches=reads_plan_patches, **reads
                )
            ),
            packed_delta=packed,
            drained=self._drained,
            controls=self.controls,
            demand=self._demand,
            isolated=self._isolated,
            key_counts=self._key_counts,
        )

    def _settled(self, region):
        """Return the settled revision of a region, computed once per tick."""
        if region not in self._settled_by_region:
            self._settled_by_region[region] = self.sessions.settled(self.state, region)
        return self._settled_by_region[region]

    def _announce_leadership(self):
        """Name this leader to the entry instances that have not asked it yet.

        Changes are pushed only to those that have asked, since the revision that others
        have is not known. Without this, an instance asks one control instance after the
        other, and each that doesn't answer costs it an interval.
        """
        if self._now_s < self._next_announcement_s:
            return
        self._next_announcement_s = self._now_s + ANNOUNCEMENT_INTERVAL_S
        reply = RenewReply(self.leader_id, granted=False, controls=self.controls)
        reported = self.sessions.reports
        self._outbox += [(i, reply) for i in self.state.entries if i not in reported]

    def _push_updates(self):
        """Send changes to entry instances without waiting for their next renewal."""
        state, now_s = self.state, self._now_s
        is_due = self._pacer.is_due(
            state.revision, state.urgent_revision, len(state.entries), now_s
        )
        # Only instances with a settings tree settle slots.
        if not is_due and not state.settings_revision:
            return
        for entry_id, report in self.sessions.reports.items():
            row = state.entries.get(entry_id)
            if row is None:
                continue
            base = self._pacer.push_base(row, report.applied)
            settled = self._settled(row.region) if state.settings_revision else 0
            has_changes = is_due and base < state.revision
            if has_changes or settled > self._pushed_settled.get(entry_id, 0):
                self._pacer.record_sent(row, state.revision, now_s)
                reply = self._renew_reply(
                    row.region,
                    base,
                    granted=False,
                    reads_plan_patches=report.reads_plan_patches,
                    reads_workspaces=report.reads_workspaces,
                )
                self._outbox.append((entry_id, reply))
            self._pushed_settled[entry_id] = settled
