"""Core of an entry instance: messages, requests and time in, actions out."""

import attrs
from snipebay_model import messages
from snipebay_model.messages import PeerBeat, Renew
from snipebay_model.units import LOOKUP_TTL_S

from snipebay_policy.announcements import AnnouncementSystem
from snipebay_policy.commands import CommandSystem
from snipebay_policy.context import EntryContext
from snipebay_policy.loans import LoanSystem
from snipebay_policy.lookup import LookupAnswer
from snipebay_policy.requests import RequestSystem
from snipebay_policy.work import Send

__all__ = ["EntryCore"]

LOAN_IDS_PER_RUN = 1 << 20


class EntryCore:
    """Entry instance without I/O.

    The adapter passes in events, then carries out the actions that
    :meth:`pop_actions` returns.

    Args:
        cfg: Identity and times.
        controls: Ids of the control instances.
        run_number: Number that differs in each run of the process; keeps loan ids
            unique across restarts.
    """

    def __init__(self, cfg, controls, run_number=0):
        self.cfg = cfg
        self.ctx = EntryContext(cfg)
        self.commands = CommandSystem(self.ctx, controls)
        self.loans = LoanSystem(self.ctx, run_number * LOAN_IDS_PER_RUN)
        self.requests = RequestSystem(
            self.ctx, self.loans, self.commands, cfg.row.incarnation
        )
        self.announcements = AnnouncementSystem(self.ctx, self.commands)
        self.row = cfg.row
        self._next_renew_s = 0.0
        self._next_heartbeat_s = 0.0
        self._last_reply_s = 0.0
        self._handlers = {
            messages.RenewReply: self._on_renew_reply,
            messages.CommandReply: lambda s, m, t: self.commands.on_reply(m, t),
            messages.PeerBeat: self._on_heartbeat,
            messages.LoanRequest: self.loans.on_request,
            messages.LoanReply: self._on_loan_reply,
            messages.LoanReturn: self.loans.on_return,
        }

    @property
    def is_ready(self):
        """True once this instance has received settings."""
        return self.ctx.view.settings_revision > 0

    @property
    def is_idle(self):
        """True when a stop would interrupt no request and no unconfirmed command."""
        return not self.requests.rows and not self.commands.unconfirmed_count

    def receive(self, sender, body, now_s):
        """Process a message from another instance."""
        self.commands.now_s = now_s
        handler = self._handlers.get(type(body))
        if handler is not None:
            handler(sender, body, now_s)

    def tick(self, now_s):
        """Run all work that depends on the current time."""
        self.commands.tick(now_s)
        self.ctx.slots.process_timeouts(self.ctx.settled_floor, now_s)
        self.ctx.slot_limits.tick(now_s)
        self.requests.tick(now_s)
        self.loans.tick(now_s)
        if now_s >= self._next_renew_s:
            self._send_renewal(now_s)
        if now_s >= self._next_heartbeat_s:
            self._send_heartbeats(now_s)

    def leave(self, now_s):
        """Announce a planned stop, so that lookups and slot assignment exclude it."""
        self.row = attrs.evolve(self.row, leaving=True)
        self._send_renewal(now_s)

    def lookup(self, service, client, now_s):
        """Return the instances that a client should use.

        Raises:
            ValueError: If the address is not a valid IP address.
            KeyError: If the service is unknown.
        """
        if service not in self.ctx.settings.services:
            raise KeyError(service)
        unresponsive = [
            row.entry_id
            for row in self.ctx.lease_state.region_peers(self.ctx.view)
            if row.entry_id in self.ctx.lease_state.peers
            and not self.ctx.lease_state.is_peer_responsive(row.entry_id, now_s)
        ]
        domain = self.ctx.blocks.domain(client)
        instances = self.ctx.ranking.best(domain, client, unresponsive)
        revision = self.ctx.view.revision
        return LookupAnswer(service, client, revision, LOOKUP_TTL_S, instances)

    def pop_actions(self):
        """Return and clear the queued actions for the adapter."""
        return self.ctx.pop_actions()

    # --- control ----------------------------------------------------------

    def _send_renewal(self, now_s):
        self._next_renew_s = now_s + self.cfg.renew_interval_s
        heard_s = max(self._last_reply_s, self.commands.leader_heard_s)
        if now_s - heard_s > 2 * self.cfg.renew_interval_s:
            self.commands.clear_leader()
        rows = self.ctx.backends
        busy = {
            attempt.slot.backend_id
            for request in self.requests.rows.values()
            for attempt in request.attempts.values()
        }
        in_flight = {}
        for request in self.requests.rows.values():
            service = request.info.service
            in_flight[service] = in_flight.get(service, 0) + 1
        report = Renew(
            self.row,
            int(now_s * 1_000),
            self.ctx.view.revision,
            self.ctx.slots.settled,
            self.announcements.pop_renewed(),
            tuple(sorted(i for i in busy if i not in rows or not rows[i].is_open)),
            in_flight,
        )
        self.ctx.queue_action(Send(self.commands.target(), report))

    def _on_renew_reply(self, sender, msg, now_s):
        self.commands.record_leader(msg.leader, sender, now_s)
        if msg.quorum_revision == 0:
            return
        self._last_reply_s = now_s
        if msg.granted:
            self.ctx.lease_state.renew(msg.sent_ms, msg.lease_ms)
        self.ctx.settled_floor = max(self.ctx.settled_floor, msg.settled_floor)
        self.announcements.drained = frozenset(msg.drained)
        if msg.delta is not None and msg.delta.base <= self.ctx.view.revision:
            self._apply_delta(msg.delta, now_s)

    def _apply_delta(self, delta, now_s):
        view = self.ctx.view.apply(delta)
        if view is self.ctx.view:
            return
        self.ctx.apply_view(view, now_s)
        self.announcements.apply_view(view)
        # Reports the new revision at once, because control and peers wait for it.
        self._send_renewal(now_s)
        self._send_heartbeats(now_s)

    # --- peers ------------------------------------------------------------

    def _send_heartbeats(self, now_s):
        self._next_heartbeat_s = now_s + self.cfg.heartbeat_interval_s
        leaving = tuple(sorted(self.ctx.leaving))
        for row in self.ctx.lease_state.region_peers(self.ctx.view):
            heartbeat = PeerBeat(
                self.ctx.entry_id,
                self.row.incarnation,
                self.ctx.view.revision,
                int(now_s * 1_000),
                self.ctx.lease_state.echo_for(row.entry_id),
                leaving,
            )
            self.ctx.queue_action(Send(row.entry_id, heartbeat))

    def _on_heartbeat(self, sender, msg, now_s):
        self.ctx.lease_state.record_heartbeat(msg)
        self.announcements.apply_heartbeat(msg)
        for service in list(self.ctx.waiting):
            self.requests.dispatch_waiting(service, now_s)

    def _on_loan_reply(self, sender, msg, now_s):
        self.loans.on_reply(sender, msg, now_s)
        self.requests.dispatch_waiting(msg.service, now_s)
