"""Lends slots between entry instances, so that none stands free in vain."""

import itertools

import attrs
from snipebay_model.messages import LoanReply, LoanRequest, LoanReturn

from snipebay_policy.deal import Slot
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
        self._ids = itertools.count(first_id)
        self._turn = itertools.count()

    def ask(self, service, region, count, now_s):
        """Ask an entry instance of a region for slots, one request at a time."""
        asked = self._asked.get((service, region))
        if asked is not None and now_s - asked.at_s < self.timing.ask_again_s:
            return
        count = min(count, self.timing.most)
        lender = self._lender(service, region, count, now_s)
        if lender is None:
            return
        loan_id = next(self._ids)
        self._asked[service, region] = _Asked(loan_id, lender, now_s)
        request = LoanRequest(loan_id, service, region, count, int(now_s * 1_000))
        self.ctx.act(Send(lender, request))

    def on_request(self, sender, msg, now_s):
        """Lend free slots, but none that our own requests or headroom need."""
        holdings = []
        if self.ctx.may_serve(now_s) and msg.service in self.ctx.settings.services:
            holdings = self._lendable(msg, sender, now_s)[: msg.count]
        deadline_s = self.ctx.rules(msg.service).deadline_ms / 1_000 if holdings else 0
        for holding in holdings:
            until_s = now_s + self.timing.lease_s + deadline_s
            self.ctx.slots.lend(holding, sender, msg.loan_id, until_s)
        reply = LoanReply(
            msg.loan_id,
            msg.service,
            msg.sent_ms,
            int(self.timing.lease_s * 1_000),
            tuple((h.slot.backend_id, h.slot.number) for h in holdings),
        )
        self.ctx.act(Send(sender, reply))

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

    def free_to_lend(self, now_s):
        """Return the number of free slots by service, for our beats."""
        counts = {}
        for holding in self.ctx.slots.holdings.values():
            if holding.state == FREE and not holding.lender:
                counts[holding.service] = counts.get(holding.service, 0) + 1
        return {
            service: count
            for service, count in counts.items()
            if not self.ctx.waiting_count(service)
        }

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

    def _lender(self, service, region, count, now_s):
        """Return the instance to ask, by its last beat or in turn, or None."""
        rows = [
            row
            for row in self.ctx.view.entries
            if row.region == region and row.entry_id != self.ctx.entry_id
        ]
        if region == self.ctx.region:
            marks = self.ctx.standing.peers
            known = [
                (marks[row.entry_id].free.get(service, 0), row.entry_id)
                for row in rows
                if self.ctx.standing.is_fresh(row.entry_id, now_s)
            ]
            free, lender = max(known, default=(0, None))
            if free:
                # Until its next beat we count what we ask for as gone.
                marks[lender].free[service] = max(0, free - count)
            return lender if free else None
        if not rows:
            return None
        return rows[next(self._turn) % len(rows)].entry_id

    def _collect(self, returns, holding):
        slot = (holding.slot.backend_id, holding.slot.number)
        key = (holding.lender, holding.loan_id)
        returns.setdefault(key, []).append(slot)
        self.ctx.slots.give_back(holding)

    def _send(self, returns):
        for (lender, loan_id), slots in returns.items():
            self.ctx.act(Send(lender, LoanReturn(loan_id, tuple(slots))))
