"""An entry instance: messages, requests and time in, actions out."""

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

LOAN_ID_SPAN = 1 << 20


class EntryCore:
    """Pure entry instance.

    The adapter hands in what happens, then carries out
    :meth:`take_actions`.

    Args:
        cfg: Identity and times.
        controls: Ids of the control instances.
        run_number: Different in each run of the process.
    """

    def __init__(self, cfg, controls, run_number=0):
        self.cfg = cfg
        self.ctx = EntryContext(cfg)
        self.commands = CommandSystem(self.ctx, controls)
        self.loans = LoanSystem(self.ctx, run_number * LOAN_ID_SPAN)
        self.requests = RequestSystem(
            self.ctx, self.loans, self.commands, cfg.row.incarnation
        )
        self.announcements = AnnouncementSystem(self.ctx, self.commands)
        self.row = cfg.row
        self._next_renew_s = 0.0
        self._next_beat_s = 0.0
        self._answered_s = 0.0
        self._handlers = {
            messages.RenewReply: self._on_renew_reply,
            messages.CommandReply: lambda s, m, t: self.commands.on_reply(m, t),
            messages.PeerBeat: self._on_beat,
            messages.LoanRequest: self.loans.on_request,
            messages.LoanReply: self._on_loan_reply,
            messages.LoanReturn: self.loans.on_return,
        }

    @property
    def is_ready(self):
        """True once settings are in force here."""
        return self.ctx.view.settings_revision > 0

    @property
    def is_idle(self):
        """True when nothing is under way that a stop would cut off."""
        return not self.requests.rows and not self.commands.unrecorded

    def receive(self, sender, body, now_s):
        """Take in a message from another instance."""
        self.commands.now_s = now_s
        handler = self._handlers.get(type(body))
        if handler is not None:
            handler(sender, body, now_s)

    def tick(self, now_s):
        """Run all systems over the tables at a time."""
        self.commands.tick(now_s)
        self.ctx.slots.process_timeouts(self.ctx.floor, now_s)
        self.requests.tick(now_s)
        self.loans.tick(now_s)
        if now_s >= self._next_renew_s:
            self._renew(now_s)
        if now_s >= self._next_beat_s:
            self._send_heartbeats(now_s)

    def leave(self, now_s):
        """Ask to be left out of look-ups and slots before a planned stop."""
        self.row = attrs.evolve(self.row, leaving=True)
        self._renew(now_s)

    def lookup(self, service, client, now_s):
        """Return the instances that a client should use.

        Raises:
            ValueError: If the address is not an IP number.
            KeyError: If the service is unknown.
        """
        if service not in self.ctx.settings.services:
            raise KeyError(service)
        suspected = [
            row.entry_id
            for row in self.ctx.lease_state.region_peers(self.ctx.view)
            if row.entry_id in self.ctx.lease_state.peers
            and not self.ctx.lease_state.is_fresh(row.entry_id, now_s)
        ]
        domain = self.ctx.blocks.domain(client)
        instances = self.ctx.ranking.best(domain, client, suspected)
        revision = self.ctx.view.revision
        return LookupAnswer(service, client, revision, LOOKUP_TTL_S, instances)

    def take_actions(self):
        """Return what the adapter has to do."""
        return self.ctx.take_actions()

    # --- control ----------------------------------------------------------

    def _renew(self, now_s):
        self._next_renew_s = now_s + self.cfg.renew_s
        if now_s - self._answered_s > 2 * self.cfg.renew_s:
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
            self.announcements.take_seen(),
            tuple(sorted(i for i in busy if i not in rows or not rows[i].is_open)),
            in_flight,
        )
        self.ctx.act(Send(self.commands.target(), report))

    def _on_renew_reply(self, sender, msg, now_s):
        if msg.leader:
            self.commands.leader = msg.leader
        if msg.quorum_revision == 0:
            return
        self._answered_s = now_s
        if msg.granted:
            self.ctx.lease_state.renew(msg.sent_ms, msg.lease_ms)
        self.ctx.floor = max(self.ctx.floor, msg.settled_floor)
        self.announcements.drained = frozenset(msg.drained)
        if msg.delta is not None and msg.delta.base <= self.ctx.view.revision:
            self._adopt(msg.delta, now_s)

    def _adopt(self, delta, now_s):
        view = self.ctx.view.apply(delta)
        if view is self.ctx.view:
            return
        self.ctx.adopt(view, now_s)
        self.announcements.adopt(view)
        # Tell at once, since others wait for our word to go on.
        self._renew(now_s)
        self._send_heartbeats(now_s)

    # --- peers ------------------------------------------------------------

    def _send_heartbeats(self, now_s):
        self._next_beat_s = now_s + self.cfg.heartbeat_interval_s
        leaving = tuple(sorted(self.ctx.leaving))
        for row in self.ctx.lease_state.region_peers(self.ctx.view):
            beat = PeerBeat(
                self.ctx.entry_id,
                self.row.incarnation,
                self.ctx.view.revision,
                int(now_s * 1_000),
                self.ctx.lease_state.echo_for(row.entry_id),
                leaving,
            )
            self.ctx.act(Send(row.entry_id, beat))

    def _on_beat(self, sender, msg, now_s):
        self.ctx.lease_state.hear(msg)
        self.announcements.hear(msg)
        for service in list(self.ctx.waiting):
            self.requests.pump(service, now_s)

    def _on_loan_reply(self, sender, msg, now_s):
        self.loans.on_reply(sender, msg, now_s)
        self.requests.pump(msg.service, now_s)
