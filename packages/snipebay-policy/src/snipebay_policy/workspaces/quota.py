"""Quotas of workspaces at one entry instance.

The leader distributes each limit in parts, see :mod:`snipebay_control.credit_board`.
A request takes credit from the part of this instance. Without credit it is parked, and
the leader is asked for credit from its reserve. This module also records the use of
this instance by workspace, which is known when a request is dispatched.
"""

import itertools
import math

import attrs
from snipebay_model.credits import CreditRequest

from snipebay_policy.work import Send
from snipebay_policy.workspaces.credit_bucket import GRANT_S, CreditBucket
from snipebay_policy.workspaces.over_limit import OverLimit
from snipebay_policy.workspaces.quota_account import REFRESH_S, QuotaAccount
from snipebay_policy.workspaces.quota_labels import credit_by_label

__all__ = ["QuotaSystem"]

# Validity of a part from the sending of the report that it answers.
PART_S = 4.0
# Validity of a spare credit from the request for it. The leader counts it for 10 s, so
# that it can be returned in time.
SPARE_S = 9.5
# After a reply without spare credit, none is asked for during this time.
SPARE_PAUSE_S = 1.0
# A leader without a reply for this long is taken to be lost. Requests that need credit
# are then rejected at once, but for one that asks on.
SILENT_S = 0.8
# A request for credit without a reply is repeated after this time.
ASK_TIMEOUT_S = 0.4
# Shortest wait for credit: a lost leader takes longer to replace, but a reply from the
# farthest region takes less.
MIN_WAIT_S = 0.3
# Longest one: the credit must be used within GRANT_S.
MAX_WAIT_S = 0.4
# Rows of a report take up to 80 bytes, and those of its reply 50.
MAX_REPORTS = 64
# Id of no request for credit, which keeps another one from being sent.
CLOSED = -1
# A workspace without requests for this long is forgotten.
IDLE_S = 10.0


@attrs.define
class _Taken:
    """Credit that a request has taken.

    Attributes:
        account: Where it comes from.
        until_s: Until when it may be given back; infinity for credit of the part.
        taken_s: When it was taken.
        is_pending: True until the request is dispatched.
    """

    account: QuotaAccount
    until_s: float
    taken_s: float
    is_pending: bool = True


class QuotaSystem:
    """Admits requests of workspaces within their quotas.

    Args:
        ctx: :class:`RoutedCore` with the tables of this entry instance.
        rules: :class:`ForwardRules`.
        start: Function of request and time that puts an admitted request into the
            queue.
        fail_request: Function of request, status, reason, detail, time and delay before
            a retry, which ends a request.

    Attributes:
        denials: Number of denied requests by reason.
    """

    def __init__(self, ctx, rules, start, fail_request):
        self.ctx = ctx
        self.rules = rules
        self.denials = dict.fromkeys(("over_quota", "quota_unknown"), 0)
        self._start = start
        self._fail_request = fail_request
        self._accounts = {}
        self._taken = {}
        self._undispatched = {}
        self._hosts = frozenset()
        self._ask_ids = itertools.count(1)
        self._applied_ms = -1
        self._silent_from_s = math.inf
        self._reported_term = 0
        self._whole_ms = None
        self._now_s = 0.0

    @property
    def is_waiting(self):
        """True while a request waits for credit."""
        return any(account.parked for account in self._accounts.values())

    def credit_held(self, now_s):
        """Return the credit available here by label for metrics."""
        workspaces = self.ctx.workspaces.by_name.values()
        return credit_by_label(self._accounts, workspaces, now_s)

    # --- requests ---------------------------------------------------------

    def admit(self, arrival, row, now_s):
        """Start a request, or park or deny it for lack of credit.

        Args:
            arrival: Its :class:`Arrival`.
            row: Its :class:`ForwardRow`, which has a workspace.
            now_s: Time.
        """
        self._now_s = now_s
        # Only an entry instance may say that it has counted a request.
        is_counted = row.has_hopped and arrival.peer_host in self._hosts
        if is_counted or not row.workspace.is_limited:
            self._run(row, now_s)
            return
        account = self._account(row.workspace, now_s)
        account.record_request(now_s)
        if not account.parked and self._take(account, row, now_s):
            self._run(row, now_s)
            self._ask(account, now_s)
        elif account.over.is_denied(now_s):
            self._deny(account, row, now_s)
        elif account.parked and now_s >= self._silent_from_s + SILENT_S:
            self._fail_unknown(row, now_s)
        else:
            account.parked[row.request_id] = row, self._wait_ends_s(row, now_s)
            self._ask(account, now_s)

    def give_back(self, row):
        """Give back the credit of a request that is refused and has not run."""
        taken = self._taken.pop(row.request_id, None)
        if taken is not None:
            taken.account.bucket.give_back(
                taken.until_s,
                self._now_s,
                is_pending=taken.is_pending,
                taken_s=taken.taken_s,
            )

    def end(self, row):
        """Forget a request that has ended, also one whose caller has left."""
        if self._undispatched.pop(row.request_id, None) is not None:
            if row.attempt_count or row.hop_count:
                self._on_dispatched(row, self._now_s)
            else:
                self.give_back(row)
        self._taken.pop(row.request_id, None)
        account = self._accounts.get(row.workspace.name)
        if account is not None:
            account.parked.pop(row.request_id, None)

    def _run(self, row, now_s):
        self._undispatched[row.request_id] = row
        self._start(row, now_s)
        self._check_dispatched(row, now_s)

    def _check_dispatched(self, row, now_s):
        is_dispatched = row.attempt is not None or row.attempt_count or row.hop_count
        if is_dispatched and self._undispatched.pop(row.request_id, None) is not None:
            self._on_dispatched(row, now_s)

    def _on_dispatched(self, row, now_s):
        self.ctx.workspace_use.record(row.workspace.name, now_s)
        taken = self._taken.get(row.request_id)
        if taken is not None and taken.is_pending:
            taken.is_pending = False
            taken.account.bucket.pending -= taken.until_s == math.inf

    def _take(self, account, row, now_s):
        """Return True if a request has got credit that is held here."""
        until_s = account.bucket.take(now_s)
        if until_s is None:
            return False
        self._record_taken(account, row, until_s, now_s)
        return True

    def _record_taken(self, account, row, until_s, now_s):
        account.admitted += 1
        self._taken[row.request_id] = _Taken(account, until_s, now_s)

    def _wait_ends_s(self, row, now_s):
        wait_s = row.route.target_latency_s * self.rules.queue_wait_share
        last_s = row.deadline_s - self.rules.min_attempt_s
        return min(now_s + min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S), last_s)

    def _deny(self, account, row, now_s):
        """Refuse a request over the limit, and log when that begins."""
        if account.over.begin(now_s):
            self.ctx.record_event("workspace over its limit", account.name)
        after_s = account.over.retry_after_s(account.bucket, now_s)
        self.denials["over_quota"] += 1
        detail = "the workspace has used its quota"
        self._fail_request(row, 429, "over_quota", detail, now_s, after_s)

    # --- the leader -------------------------------------------------------

    def _ask(self, account, now_s):
        """Ask the leader for credit, unless it is asked already."""
        if account.ask_id:
            return
        count, spare = len(account.parked), account.spare_wanted(now_s)
        if not (count or spare):
            return
        account.ask_id, account.asked_s = next(self._ask_ids), now_s
        returned = account.bucket.pop_expired_spare(now_s)
        self._send_request(account, account.ask_id, count, spare, returned)

    def _send_request(self, account, ask_id, count, spare, returned):
        leader, held = self.ctx.commands.leader, len(account.bucket.spare)
        if leader:
            msg = CreditRequest(ask_id, account.name, count, spare, held, returned)
            self.ctx.queue_action(Send(leader, msg))

    def on_reply(self, msg, now_s):
        """Admit parked requests by the reply of the leader, deny the others.

        A reply to an earlier request than the open one is ignored: its credit may be
        counted no longer.
        """
        self._now_s = now_s
        self._silent_from_s = math.inf
        account = self._accounts.get(msg.workspace)
        if account is None or account.ask_id != msg.request_id:
            return
        account.ask_id = 0
        until_s = account.asked_s + GRANT_S
        if now_s >= account.asked_s + ASK_TIMEOUT_S:
            self._ask(account, now_s)
            return
        granted = msg.granted
        waiting = len(account.parked)
        while granted > 0 and account.parked:
            row, _ = account.parked.pop(next(iter(account.parked)))
            granted -= 1
            self._record_taken(account, row, until_s, now_s)
            self._run(row, now_s)
        # What parked requests leave over because their callers have left.
        account.bucket.returned.extend([until_s] * granted)
        account.bucket.spare.extend([account.asked_s + SPARE_S] * msg.spare)
        if not msg.spare:
            account.spare_after_s = now_s + SPARE_PAUSE_S
        if not msg.is_known:
            # The leader has just begun to lead; the parked requests may wait for it.
            account.ask_id = CLOSED
            account.asked_s = now_s - ASK_TIMEOUT_S + msg.due_ms / 1_000
            return
        if msg.granted < waiting and msg.due_ms:
            account.over.hold(now_s + msg.due_ms / 1_000, now_s)
            self._admit_parked(account, now_s)
            self._deny_parked(account, now_s)
        else:
            self._ask(account, now_s)

    def _admit_parked(self, account, now_s):
        """Let parked requests take credit that has become due here."""
        while account.parked:
            row, _ = next(iter(account.parked.values()))
            if not self._take(account, row, now_s):
                return
            del account.parked[row.request_id]
            self._run(row, now_s)

    def _deny_parked(self, account, now_s):
        parked, account.parked = account.parked, {}
        for row, _ in parked.values():
            self._deny(account, row, now_s)

    def reports(self, target, now_s):
        """Return the reports that are due, those on the workspaces used most first.

        Args:
            target: Control instance that they go to; only the leader uses them.
            now_s: Time.
        """
        if target != self.ctx.commands.leader:
            return ()
        reports_all = self.reports_all_to(target)
        rows = []
        for account in self._accounts.values():
            bucket = account.bucket
            bucket.update(now_s)
            is_held = bool(bucket.per_s or bucket.spare)
            if account.is_report_due(now_s) or (is_held and reports_all):
                rows.append(account)
        rows.sort(key=lambda a: (-a.wanted, -a.bucket.per_s, a.name))
        limit = None if reports_all else MAX_REPORTS
        return tuple(account.report(now_s) for account in rows[:limit])

    def reports_all_to(self, target):
        """Return True if a report must name all credit that is held here.

        A new leader deals out nothing new before, since it can't know what an earlier
        one gave away.
        """
        is_new = self.ctx.rate_limits.version[0] != self._reported_term
        return is_new and target == self.ctx.commands.leader

    def on_reported(self, renewal):
        """Note a renewal that names all credit."""
        if renewal.reports_all_credit and self._whole_ms is None:
            self._whole_ms = renewal.sent_ms, renewal.rate_limits_version[0]

    def on_renewed(self, sent_ms):
        """Handle a reply of the leader to a renewal."""
        if self._whole_ms is not None and sent_ms >= self._whole_ms[0]:
            self._reported_term = self._whole_ms[1]
            self._whole_ms = None

    def apply_parts(self, parts, sent_ms, now_s):
        """Use the parts in a reply, unless a later one has overtaken it."""
        if sent_ms <= self._applied_ms:
            return
        self._applied_ms = sent_ms
        ends_s = sent_ms / 1_000 + PART_S
        for part in parts:
            account = self._accounts.get(part.workspace)
            if account is not None and now_s < ends_s:
                account.bucket.set_part(part, ends_s, now_s)

    def apply_view(self, view, now_s):
        """Apply changed limits, and note the addresses of the other instances."""
        self._now_s = now_s
        own_id = self.ctx.row.entry_id
        workspaces = self.ctx.workspaces.by_name
        entries = view.entries if workspaces else ()
        self._hosts = frozenset(
            _host(row.internal) for row in entries if row.entry_id != own_id
        )
        for name, account in list(self._accounts.items()):
            workspace = workspaces.get(name)
            if workspace is not None and workspace.is_limited:
                account.bucket.set_limit(workspace, now_s)
                continue
            del self._accounts[name]
            parked, account.parked = account.parked, {}
            for row, _ in parked.values():
                self._run(row, now_s)

    # --- time -------------------------------------------------------------

    def tick(self, now_s):
        """End waits, repeat requests for credit and forget idle workspaces."""
        self._now_s = now_s
        for row in list(self._undispatched.values()):
            self._check_dispatched(row, now_s)
        for name, account in list(self._accounts.items()):
            if account.ask_id and now_s >= account.asked_s + ASK_TIMEOUT_S:
                if account.ask_id != CLOSED:
                    self._silent_from_s = min(self._silent_from_s, account.asked_s)
                account.ask_id = 0
            if not account.ask_id and (n := account.bucket.pop_expired_spare(now_s)):
                # Its reply has an id that is not waited for.
                self._send_request(account, next(self._ask_ids), 0, 0, n)
            if account.parked:
                self._admit_parked(account, now_s)
                self._end_waits(account, now_s)
                self._ask(account, now_s)
            if account.over.end(now_s):
                self.ctx.record_event("workspace within its limit", name)
            if now_s >= account.used_s + IDLE_S and not account.parked:
                del self._accounts[name]

    def _end_waits(self, account, now_s):
        """Refuse the requests that have waited too long for a reply."""
        for row, ends_s in list(account.parked.values()):
            if now_s >= ends_s:
                del account.parked[row.request_id]
                self._fail_unknown(row, now_s)

    def _fail_unknown(self, row, now_s):
        self.denials["quota_unknown"] += 1
        detail = "the quota of the workspace is not known now"
        self._fail_request(row, 503, "quota_unknown", detail, now_s, None)

    def _account(self, workspace, now_s):
        account = self._accounts.get(workspace.name)
        if account is None:
            bucket = CreditBucket(workspace.rate_per_s, workspace.burst, now_s)
            # A new workspace is reported at once.
            times = {"used_s": now_s, "reported_s": now_s - REFRESH_S}
            account = QuotaAccount(workspace.name, bucket, OverLimit(), **times)
            self._accounts[workspace.name] = account
        return account


def _host(address):
    return address.rpartition(":")[0].strip("[]")
