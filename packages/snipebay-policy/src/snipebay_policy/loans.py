"""Leases idle slots between entry instances."""

import itertools

import attrs
from snipebay_model.messages import LoanReply, LoanRequest, LoanReturn

from snipebay_policy.slot_assignment import Slot
from snipebay_policy.slots import BUSY, FREE, LENT
from snipebay_policy.work import Send

__all__ = ["LoanSystem", "LoanTiming"]


@attrs.frozen
class LoanTiming:
    """Time limits and size limit of loans.

    Attributes:
        lease_s: Time from the loan request during which a borrowed slot may be used
            to start a request.
        retry_after_s: Time without a reply after which a loan is requested again,
            from the next lender in another region. A lender queues a loan request
            for the same time.
        local_idle_timeout_s: Idle time after which a borrowed slot of the local
            region is returned.
        remote_idle_timeout_s: The same for a slot of another region.
        max_slots: Maximum number of slots in one loan request.
    """

    lease_s: float = 1.0
    retry_after_s: float = 0.25
    local_idle_timeout_s: float = 0.1
    remote_idle_timeout_s: float = 0.5
    max_slots: int = 8


@attrs.define
class _QueuedRequest:
    """A peer's loan request that waits for a free slot."""

    msg: LoanRequest
    until_s: float


@attrs.define
class _PendingRequest:
    """A loan request sent to a peer that has not replied yet."""

    loan_id: int
    lender: str
    sent_s: float


class LoanSystem:
    """Borrows slots for waiting requests, and lends idle ones to peers.

    Args:
        ctx: Shared state of this entry instance.
        first_id: First loan id, different in each run of the process.
        timing: Limits of loans.
    """

    def __init__(self, ctx, first_id, timing=None):
        self.ctx = ctx
        self.timing = timing or LoanTiming()
        self._pending_requests = {}
        self._queued_requests = {}
        self._ids = itertools.count(first_id)
        self._round_robin = itertools.count()

    def request_slots(self, service, region, count, now_s):
        """Request a loan of slots from entry instances of a region.

        In the local region all responsive instances receive the request at once,
        and each replies as soon as it has a free slot; slots beyond those needed
        are returned at once. In another region one instance is asked at a time,
        since a lent slot is idle while the messages are in transit.
        """
        count = min(count, self.timing.max_slots)
        for lender in self._lenders(service, region, now_s):
            pending = self._pending_requests.get((service, region, lender))
            if (
                pending is not None
                and now_s - pending.sent_s < self.timing.retry_after_s
            ):
                continue
            loan_id = next(self._ids)
            self._pending_requests[service, region, lender] = _PendingRequest(
                loan_id, lender, now_s
            )
            request = LoanRequest(loan_id, service, region, count, int(now_s * 1_000))
            self.ctx.queue_action(Send(lender, request))

    def on_request(self, sender, msg, now_s):
        """Lend free slots, or queue the loan request until one is free."""
        if msg.service not in self.ctx.settings.services:
            return
        if not self._try_lend(sender, msg, now_s):
            until_s = now_s + self.timing.retry_after_s
            queued_requests = self._queued_requests.setdefault(msg.service, {})
            queued_requests[sender] = _QueuedRequest(msg, until_s)

    def offer_idle_slots(self, service, now_s):
        """Return or lend the slots that no local request waits for."""
        if self.ctx.waiting_count(service):
            return
        returns = {}
        for holding in self.ctx.slots.free_slots(service, self.ctx.region, now_s):
            if holding.lender:
                self._collect_return(returns, holding)
        self._send_returns(returns)
        queued_requests = self._queued_requests.get(service, {})
        for sender, queued in list(queued_requests.items()):
            if now_s >= queued.until_s or self._try_lend(sender, queued.msg, now_s):
                del queued_requests[sender]

    def _try_lend(self, sender, msg, now_s):
        """Lend free slots if any can be spared, and return whether some were lent."""
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
        self.ctx.queue_action(Send(sender, reply))
        return True

    def on_reply(self, sender, msg, now_s):
        """Add the borrowed slots, or return them if the reply is late or unexpected."""
        pending = next(
            (p for p in self._pending_requests.values() if p.loan_id == msg.loan_id),
            None,
        )
        until_s = (msg.sent_ms + msg.lease_ms) / 1_000
        is_in_time = (
            pending is not None and pending.lender == sender and now_s < until_s
        )
        if is_in_time:
            self._pending_requests = {
                k: p for k, p in self._pending_requests.items() if p is not pending
            }
        rejected = []
        for backend_id, number in msg.slots:
            slot = Slot(backend_id, number)
            holding = self.ctx.slots.holdings.get(slot)
            row = self.ctx.backends.get(backend_id)
            if holding is not None and (holding.lender, holding.loan_id) == (
                sender,
                msg.loan_id,
            ):
                # A duplicate reply must not return slots that are in use.
                continue
            if is_in_time and holding is None and self.ctx.is_open(backend_id):
                self.ctx.slots.borrow(slot, row, sender, msg.loan_id, until_s, now_s)
            else:
                rejected.append((backend_id, number))
        if rejected:
            self.ctx.queue_action(
                Send(sender, LoanReturn(msg.loan_id, tuple(rejected)))
            )

    def on_return(self, sender, msg, now_s):
        """Free lent slots that the borrower returned."""
        for backend_id, number in msg.slots:
            slot = Slot(backend_id, number)
            self.ctx.slots.reclaim_lent(slot, sender, msg.loan_id, now_s)

    def tick(self, now_s):
        """Return borrowed slots that are idle or whose lease has expired."""
        returns = {}
        for holding in list(self.ctx.slots.holdings.values()):
            if holding.lender and holding.state == FREE:
                is_local = holding.region == self.ctx.region
                idle_s = (
                    self.timing.local_idle_timeout_s
                    if is_local
                    else self.timing.remote_idle_timeout_s
                )
                is_idle = now_s - holding.since_s >= idle_s
                if is_idle or now_s >= holding.until_s:
                    self._collect_return(returns, holding)
        self._send_returns(returns)

    def return_borrowed(self, holding):
        """Return one borrowed slot to its lender at once."""
        returns = {}
        self._collect_return(returns, holding)
        self._send_returns(returns)

    def _lendable(self, msg, sender, now_s):
        """Return the free slots that may be lent, least recently used first."""
        free = [
            holding
            for holding in self.ctx.slots.free_slots(msg.service, msg.region, now_s)
            if not holding.lender
            and self.ctx.is_open(holding.slot.backend_id)
            # The part of a rate limit stays with the owner of the slot.
            and not self.ctx.slot_limits.is_limited(holding.slot.backend_id)
        ]
        if self.ctx.waiting_count(msg.service):
            return []
        reserved = 0
        if self.ctx.region_of(sender) != self.ctx.region:
            headroom = self.ctx.rules(msg.service).headroom
            owned = self.ctx.slots.count(msg.service, FREE, BUSY, LENT)
            reserved = int(-(-headroom * owned // 1))
        free.sort(key=lambda h: (h.since_s, h.slot))
        return free[: max(0, len(free) - reserved)]

    def _lenders(self, service, region, now_s):
        """Return the ids of the instances to request slots from."""
        rows = [
            row.entry_id
            for row in self.ctx.view.entries
            if row.region == region and row.entry_id != self.ctx.entry_id
        ]
        if region == self.ctx.region:
            return [
                i for i in rows if self.ctx.lease_state.is_peer_responsive(i, now_s)
            ]
        is_pending = any(
            now_s - pending.sent_s < self.timing.retry_after_s
            for request_key, pending in self._pending_requests.items()
            if request_key[:2] == (service, region)
        )
        return (
            []
            if is_pending or not rows
            else [rows[next(self._round_robin) % len(rows)]]
        )

    def _collect_return(self, returns, holding):
        slot = (holding.slot.backend_id, holding.slot.number)
        key = (holding.lender, holding.loan_id)
        returns.setdefault(key, []).append(slot)
        self.ctx.slots.remove_borrowed(holding)

    def _send_returns(self, returns):
        for (lender, loan_id), slots in returns.items():
            self.ctx.queue_action(Send(lender, LoanReturn(loan_id, tuple(slots))))
