"""Entry instances with quotas, and their leader, in virtual time.

Each instance has a real :class:`QuotaSystem`, the leader a real :class:`CreditBoard`.
Requests are dispatched as soon as they have credit.
"""

import types

import numpy as np
from snipebay_control.credit_board import CreditBoard, QuotaRules
from snipebay_model.credits import CreditReply
from snipebay_model.workspace import Workspace
from snipebay_policy.arrivals import Arrival
from snipebay_policy.forward_rows import ForwardRow, ForwardRules
from snipebay_policy.renewal_pacing import renewal_interval_s
from snipebay_policy.workspaces.fairness import WorkspaceUse
from snipebay_policy.workspaces.keys import WorkspaceTable
from snipebay_policy.workspaces.quota import QuotaSystem

from snipebay_testbed.fakes import Scheduler

__all__ = ["QuotaRig", "largest_window"]

TICK_S = 0.1
LEASE_S = 3.0
RENEW_INTERVAL_S = 0.5
DELAYS_S = (0.002, 0.04)
ROUTE = types.SimpleNamespace(target_latency_s=0.8, priority=0)
DEADLINE_S = 3.0


def largest_window(times, window_s):
    """Return the largest number of sorted times in any window of a length."""
    times = np.asarray(times)
    if not len(times):
        return 0
    ends = np.searchsorted(times, times + window_s, side="right")
    return int((ends - np.arange(len(times))).max())


class RigInstance:
    """One entry instance; stands in for the routed core that owns the quotas."""

    def __init__(self, rig, number):
        self.rig = rig
        self.row = types.SimpleNamespace(entry_id=f"e{number}")
        self.commands = types.SimpleNamespace(leader="c0")
        self.rate_limits = types.SimpleNamespace(version=(rig.term, 0))
        self.workspaces = WorkspaceTable(rig.workspaces)
        self.workspace_use = WorkspaceUse()
        self.incarnation = 0
        self.delay_s = float(rig.rng.uniform(*DELAYS_S))
        self.held = None
        self.is_gone = self.is_cut = False
        self.events = []
        self.start()

    def start(self):
        """Start the process, also again."""
        self.incarnation += 1
        rules = ForwardRules()
        self.quota = QuotaSystem(self, rules, self._on_start, self._on_failure)

    def run(self, callback, *args):
        """Call a function now, or after the instance is no longer frozen."""
        if self.held is not None:
            self.held.append((callback, args))
        elif not self.is_gone:
            callback(*args)

    def record_event(self, event, subject):
        self.events.append((event, subject))

    def queue_action(self, action):
        self.rig.to_leader(self, self.rig.on_credit_request, action.body)

    def arrive(self, workspace):
        """Let a request of a workspace arrive."""
        now_s, self.rig.requests = self.rig.now_s, self.rig.requests + 1
        request_id = self.rig.requests
        row = ForwardRow(request_id, ROUTE, "s", None, "", now_s, now_s + DEADLINE_S)
        row.workspace = self.workspaces.by_name[workspace]
        self.quota.admit(Arrival(request_id, "", ""), row, now_s)

    def tick(self):
        self.quota.tick(self.rig.now_s)
        self.rig.scheduler.after(TICK_S, self.run, self.tick)

    def renew(self):
        """Report to the leader, and again after the interval."""
        rig = self.rig
        rig.scheduler.after(rig.renew_interval_s, self.run, self.renew)
        sent_ms = int(rig.now_s * 1_000)
        leader = self.commands.leader
        renewal = types.SimpleNamespace(
            row=types.SimpleNamespace(entry_id=self.row.entry_id),
            incarnation=self.incarnation,
            sent_ms=sent_ms,
            credit_reports=self.quota.reports(leader, rig.now_s),
            reports_all_credit=self.quota.reports_all_to(leader),
            rate_limits_version=self.rate_limits.version,
        )
        self.quota.on_reported(renewal)
        rig.to_leader(self, rig.on_renewal, renewal)

    def _on_start(self, row, now_s):
        row.attempt_count = 1
        self.rig.ran.setdefault(row.workspace.name, []).append(now_s)

    def _on_failure(self, row, status, reason, detail, now_s, after_s):
        failed = (now_s, reason, after_s, now_s - row.arrived_s)
        self.rig.failed.setdefault(row.workspace.name, []).append(failed)
        self.quota.end(row)


class QuotaRig:
    """A leader, entry instances and callers.

    Args:
        entries: Number of entry instances.
        workspaces: Pairs of name and limit; burst is one second of the limit.
        rules: :class:`QuotaRules`.
        seed: Seed of arrivals and delays.

    Attributes:
        ran: Times of dispatched requests by workspace.
        failed: Tuples of time, reason, delay for the caller and wait by workspace.
        messages: Number of messages beyond renewals.
    """

    def __init__(self, entries, workspaces, rules=None, seed=1):
        self.rng = np.random.default_rng(seed)
        self.scheduler = Scheduler()
        self.workspaces = tuple(
            Workspace(name, rate_per_s=rate, burst=rate) for name, rate in workspaces
        )
        self.rules = rules or QuotaRules()
        self.board = None
        self.term = 0
        self.requests = self.messages = 0
        self.ran, self.failed = {}, {}
        self.instances = []
        self.renew_interval_s = renewal_interval_s(RENEW_INTERVAL_S, LEASE_S, entries)
        self.elect()
        self._tick_board()
        for _ in range(entries):
            self.join()

    @property
    def now_s(self):
        return self.scheduler.now_s

    # --- changes ----------------------------------------------------------

    def elect(self):
        """Replace the leader by a new one."""
        self.term += 1
        self.board = CreditBoard(self.rules)
        self.board.start(self.now_s)
        self.board.tick(self.workspaces, self.now_s)

    def lose_leader(self):
        self.board = None

    def join(self):
        """Let an instance join, and return it."""
        instance = RigInstance(self, len(self.instances))
        self.instances.append(instance)
        self.scheduler.after(self.rng.uniform(0, TICK_S), instance.tick)
        after_s = self.rng.uniform(0, self.renew_interval_s)
        self.scheduler.after(after_s, instance.run, instance.renew)
        return instance

    def freeze(self, instances, seconds):
        """Hold back all that happens at some instances for a while."""
        for instance in instances:
            instance.held = []
            self.scheduler.after(seconds, self._thaw, instance)

    def _thaw(self, instance):
        held, instance.held = instance.held, None
        for callback, args in held:
            instance.run(callback, *args)

    def set_limits(self, workspaces, delay_s=0.0):
        """Change the limits at the leader, and after a delay at the instances."""
        self.workspaces = tuple(
            Workspace(name, rate_per_s=rate, burst=rate) for name, rate in workspaces
        )
        self.board.tick(self.workspaces, self.now_s)
        for instance in self.instances:
            self.scheduler.after(delay_s, instance.run, self._apply, instance)

    def _apply(self, instance):
        instance.workspaces = WorkspaceTable(self.workspaces)
        instance.quota.apply_view(types.SimpleNamespace(entries=()), self.now_s)

    # --- callers ----------------------------------------------------------

    def load(self, workspace, per_s, seconds, entries=None):
        """Let requests arrive at random instances at random times from now on.

        Args:
            workspace: Name of the workspace.
            per_s: Mean rate at all instances together.
            seconds: How long.
            entries: Instances that get them, or None for all.
        """
        entries = entries or self.instances
        count = self.rng.poisson(per_s * seconds)
        for after_s in np.sort(self.rng.uniform(0, seconds, count)):
            instance = entries[self.rng.integers(len(entries))]
            self.scheduler.after(after_s, instance.run, instance.arrive, workspace)

    def run_for(self, seconds):
        self.scheduler.run_for(seconds)

    # --- leader -----------------------------------------------------------

    def to_leader(self, instance, callback, *args):
        """Deliver a message to the leader, unless the instance is cut off."""
        if not instance.is_cut:
            delay_s = instance.delay_s
            self.scheduler.after(delay_s, self._at_leader, instance, callback, args)

    def _at_leader(self, instance, callback, args):
        if self.board is not None and not instance.is_cut:
            callback(instance, *args)

    def on_credit_request(self, instance, msg):
        self.messages += 2
        reply = self.board.request(instance.row.entry_id, msg, self.now_s)
        assert isinstance(reply, CreditReply)
        self._to_instance(instance, lambda: instance.quota.on_reply(reply, self.now_s))

    def on_renewal(self, instance, msg):
        key = (msg.row.entry_id, msg.incarnation)
        if msg.reports_all_credit and msg.rate_limits_version[0] == self.term:
            self.board.record_complete(msg.row.entry_id)
        parts = self.board.report(key, msg.sent_ms, msg.credit_reports, self.now_s)
        term = self.term

        def apply_reply():
            if instance.incarnation == key[1]:
                instance.rate_limits.version = (term, 0)
                instance.quota.on_renewed(msg.sent_ms)
                instance.quota.apply_parts(parts, msg.sent_ms, self.now_s)

        self._to_instance(instance, apply_reply)

    def _to_instance(self, instance, callback):
        def deliver():
            if not instance.is_cut:
                instance.run(callback)

        self.scheduler.after(instance.delay_s, deliver)

    def _tick_board(self):
        if self.board is not None:
            ids = {i.row.entry_id for i in self.instances if not i.is_gone}
            self.board.tick(self.workspaces, self.now_s, ids)
        self.scheduler.after(TICK_S, self._tick_board)

    # --- results ----------------------------------------------------------

    def excess(self, workspace, rate, from_s=0.0, rules=None):
        """Return by how many requests the worst window exceeds its bound."""
        rules = rules or self.rules
        limit = rate * rules.window_s + rate
        bound = limit * (1 + rules.overage) + rules.tolerance
        times = [time for time in self.ran.get(workspace, ()) if time >= from_s]
        return largest_window(times, rules.window_s) - bound

    def used(self, workspace, rate, from_s):
        """Return the requests per second since a time as a share of a rate."""
        times = [time for time in self.ran.get(workspace, ()) if time >= from_s]
        return len(times) / (self.now_s - from_s) / rate

    def failed_since(self, workspace, from_s):
        """Return the failures of a workspace since a time."""
        return [row for row in self.failed.get(workspace, ()) if row[0] >= from_s]
