"""Lends slots between entry instances, so that none stands free in vain."""

import itertools

import attrs
from snipebay_model.messages import LoanReply, LoanRequest, LoanReturn

from snipebay_policy.slot_assignment import Slot
from snipebay_policy.slots import BUSY, FREE, LENT
from snipebay_policy.work import Send

__all__ = ["LoanSystem", "LoanTiming"]


@attrs.frozen
class LoanTiming:
    """Times of loans in seconds.

    Attributes:
        lease_s: Time from the request in which work may be started.
        ask_again_s: Silence after which another lender is asked.
        idle_near_s: Idle time after which a slot of our region goes back.
        idle_far_s: The same for a slot of another region.
        most: Most slots asked for at once.
    """

    lease_s: float = 1.0
    ask_again_s: float = 0.25
    idle_near_s: float = 0.1
    idle_far_s: float = 0.5
    most: int = 8


@attrs.define
class _Wish:
    """A request for slots that found none free."""

    msg: LoanRequest
    until_s: float


@attrs.define
class _Asked:
    """A loan request that has no answer yet."""

    loan_id: int
    lender: str
    at_s: float


class LoanSystem:
    """Asks for slots when requests wait, and lends those that stand free.

    Args:
        ctx: Tables of this entry instance.
        first_id: First loan id, different in each run of the process.
        timing: Times of loans.
    """

    def __init__(self, ctx, first_id, timing=None):
        self.ctx = ctx
        self.timing = timing or LoanTiming()
        self._asked = {}
        self._wishes = {}
        self._ids = itertools.count(first_id)
        self._turn = itertools.count()

    def ask(self, service, region, count, now_s):
        """Ask entry instances of a region for slots.

        In our own region all are asked at once, and each answers as soon as it
        has a slot free: the first ones serve, the rest goes straight back. Far
        away one is asked at a time, since a slot is idle on its way there.
        """
        count = min(count, self.timing.most)
        for lender in self._lenders(service, region, now_s):
            asked = self._asked.get((service, region, lender))
            if asked is not None and now_s - asked.at_s < self.timing.ask_again_s:
                continue
            loan_id = next(self._ids)
            self._asked[service, region, lender] = _Asked(loan_id, lender, now_s)
            request = LoanRequest(loan_id, service, region, count, int(now_s * 1_000))
            self.ctx.act(Send(lender, request))

    def on_request(self, sender, msg, now_s):
        """Lend free slots, or remember the request until one is free."""
        if msg.service not in self.ctx.settings.services:
            return
        if not self._lend(sender, msg, now_s):
            until_s = now_s + self.timing.ask_again_s
            wishes = self._wishes.setdefault(msg.service, {})
            wishes[sender] = _Wish(msg, until_s)

    def offer(self, service, now_s):
        """Give back and lend what our own requests leave free."""
        if self.ctx.waiting_count(service):
            return
        returns = {}
        for holding in self.ctx.slots.free(service, self.ctx.region, now_s):
            if holding.lender:
                self._collect(returns, holding)
        self._send(returns)
        wishes = self._wishes.get(service, {})
        for sender, wish in list(wishes.items()):
            if now_s >= wish.until_s or self._lend(sender, wish.msg, now_s):
                del wishes[sender]

    def _lend(self, sender, msg, now_s):
        """Return True after lending free slots that we can spare."""
        if not self.ctx.may_serve(now_s):
            return False
        holdings = self._lendable(msg, sender, now_s)[: msg.count]
        if not holdings:
            return False
        deadline_s = self.ctx.rules(msg.service).deadline_ms / 1_000
        until_s = now_s + self.timing.lease_s + deadline_s
        for holding in holdings:
            self.ctx.slots.lend(holding, sender, msg.loan_id, until_s)
        slots = tuple((h.slot.backend_id, h.slot.number) for h in holdings)
        lease_ms = int(self.timing.lease_s * 1_000)
        reply = LoanReply(msg.loan_id, msg.service, msg.sent_ms, lease_ms, slots)
        self.ctx.act(Send(sender, reply))
        return True

    def on_reply(self, sender, msg, now_s):
        """Take lent slots into use, or give them back when they come too late."""
        asked = next(
            (a for a in self._asked.values() if a.loan_id == msg.loan_id), None
        )
        until_s = (msg.sent_ms + msg.lease_ms) / 1_000
        in_time = asked is not None and asked.lender == sender and now_s < until_s
        if in_time:
            self._asked = {k: a for k, a in self._asked.items() if a is not asked}
        refused = []
        for backend_id, number in msg.slots:
            slot = Slot(backend_id, number)
            held = self.ctx.slots.holdings.get(slot)
            row = self.ctx.backends.get(backend_id)
            if held is not None and (held.lender, held.loan_id) == (
                sender,
                msg.loan_id,
            ):
                # A second copy of a reply must not give back what is in use.
                continue
            if in_time and held is None and self.ctx.is_open(backend_id):
                self.ctx.slots.borrow(slot, row, sender, msg.loan_id, until_s, now_s)
            else:
                refused.append((backend_id, number))
        if refused:
            self.ctx.act(Send(sender, LoanReturn(msg.loan_id, tuple(refused))))

    def on_return(self, sender, msg, now_s):
        """Take back slots that we lent."""
        for backend_id, number in msg.slots:
            slot = Slot(backend_id, number)
            self.ctx.slots.take_back(slot, sender, msg.loan_id, now_s)

    def tick(self, now_s):
        """Give back borrowed slots that are idle or whose time is over."""
        returns = {}
        for holding in list(self.ctx.slots.holdings.values()):
            if holding.lender and holding.state == FREE:
                near = holding.region == self.ctx.region
                idle_s = self.timing.idle_near_s if near else self.timing.idle_far_s
                idle = now_s - holding.since_s >= idle_s
                if idle or now_s >= holding.until_s:
                    self._collect(returns, holding)
        self._send(returns)

    def give_back(self, holding):
        """Give one borrowed slot back at once."""
        returns = {}
        self._collect(returns, holding)
        self._send(returns)

    def _lendable(self, msg, sender, now_s):
        """Return free slots that may be lent, the ones used longest ago first."""
        free = [
            holding
            for holding in self.ctx.slots.free(msg.service, msg.region, now_s)
            if not holding.lender and self.ctx.is_open(holding.slot.backend_id)
        ]
        if self.ctx.waiting_count(msg.service):
            return []
        keep = 0
        if self.ctx.region_of(sender) != self.ctx.region:
            headroom = self.ctx.rules(msg.service).headroom
            owned = self.ctx.slots.count(msg.service, FREE, BUSY, LENT)
            keep = int(-(-headroom * owned // 1))
        free.sort(key=lambda h: (h.since_s, h.slot))
        return free[: max(0, len(free) - keep)]

    def _lenders(self, service, region, now_s):
        """Return the instances to ask for slots."""
        rows = [
            row.entry_id
            for row in self.ctx.view.entries
            if row.region == region and row.entry_id != self.ctx.entry_id
        ]
        if region == self.ctx.region:
            return [i for i in rows if self.ctx.lease_state.is_fresh(i, now_s)]
        waits = any(
            now_s - asked.at_s < self.timing.ask_again_s
            for place, asked in self._asked.items()
            if place[:2] == (service, region)
        )
        return [] if waits or not rows else [rows[next(self._turn) % len(rows)]]

    def _collect(self, returns, holding):
        slot = (holding.slot.backend_id, holding.slot.number)
        key = (holding.lender, holding.loan_id)
        returns.setdefault(key, []).append(slot)
        self.ctx.slots.give_back(holding)

    def _send(self, returns):
        for (lender, loan_id), slots in returns.items():
            self.ctx.act(Send(lender, LoanReturn(loan_id, tuple(slots))))
