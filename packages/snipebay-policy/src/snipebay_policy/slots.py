"""Slots held by an entry instance: its own and those on loan from peers."""

import attrs

from snipebay_policy.slot_assignment import Slot, assign_slots

__all__ = ["BUSY", "COOLING", "FREE", "LENT", "PENDING", "Holding", "SlotTable"]

FREE = "free"
BUSY = "busy"
LENT = "lent"
PENDING = "pending"
COOLING = "cooling"


@attrs.define
class Holding:
    """State of one slot held by this entry instance.

    Attributes:
        slot: The slot.
        service: Service of its backend server.
        region: Region of its backend server.
        state: ``free``; ``busy``: occupied by a request; ``cooling``: blocked until the
            backend server has received the cancellation of its request; ``lent``:
            leased to a peer; ``pending``: newly assigned and possibly still in use
            by its former owner.
        until_s: End of the lease of a lent or borrowed slot.
        since_s: Time at which it became pending, or was last taken or freed.
        revision: View revision that assigned a pending slot to this instance.
        lender: Owner of a borrowed slot, else empty.
        borrower: Instance that a lent slot is leased to.
        loan_id: Loan that a lent or borrowed slot belongs to.
        cooldown_until_s: Time from which on a cooling slot may be used again.
        is_revoked: True when this instance must drop the slot once its request or
            loan ends.
    """

    slot: Slot
    service: str
    region: str
    state: str
    until_s: float = float("inf")
    since_s: float = 0.0
    revision: int = 0
    lender: str = ""
    borrower: str = ""
    loan_id: int = 0
    cooldown_until_s: float = 0.0
    is_revoked: bool = False


@attrs.define
class SlotTable:
    """All slots held by this entry instance.

    Attributes:
        entry_id: Id of this instance.
        region: Region of this instance.
        takeover_delay_s: Time after which a partitioned former owner has certainly
            stopped using a slot.
        holdings: Holding by slot.
        applied: Revision of the last view applied.
    """

    entry_id: str
    region: str
    takeover_delay_s: float
    holdings: dict = attrs.Factory(dict)
    applied: int = 0
    _settled: int = 0
    _by_service_region: dict = attrs.Factory(dict)
    _assigned: set = attrs.Factory(set)
    _rows: dict = attrs.Factory(dict)

    @property
    def settled(self):
        """Newest revision whose slot assignment this instance complies with.

        Stays behind ``applied`` while a revoked slot is still in use.
        """
        if any(holding.is_revoked for holding in self.holdings.values()):
            return self._settled
        return self.applied

    def apply_view(self, view, now_s):
        """Recompute the assignment: revoke lost slots, add new ones as pending."""
        self._settled = self.settled
        self.applied = view.revision
        self._rows = {row.backend_id: row for row in view.backends}
        owners = assign_slots(view, self.region)
        lenders = {row.entry_id for row in view.entries if not row.leaving}
        assigned = {slot for slot, owner in owners.items() if owner == self.entry_id}
        self._assigned = assigned
        for slot, holding in list(self.holdings.items()):
            if holding.lender:
                self._update_borrowed(holding, owners, lenders)
            elif slot not in assigned:
                self._revoke(holding)
            else:
                holding.is_revoked = False
        self._add_assigned(now_s)

    def process_timeouts(self, settled_floor, now_s):
        """Free safe pending slots, and lent or cooling ones whose time is over.

        A pending slot is safe once every former owner has certainly released it.

        Args:
            settled_floor: Revision that every live entry instance has settled.
            now_s: Current time.
        """
        for holding in list(self.holdings.values()):
            if holding.state == PENDING:
                waited = now_s - holding.since_s >= self.takeover_delay_s
                if waited and settled_floor >= holding.revision:
                    holding.state = FREE
                    holding.since_s = now_s
            elif (holding.state == LENT and now_s >= holding.until_s) or (
                holding.state == COOLING and now_s >= holding.cooldown_until_s
            ):
                self.release(holding.slot, now_s)
        self._add_assigned(now_s)

    def free_slots(self, service, region, now_s):
        """Return the free slots of a service in a region."""
        return [
            holding
            for holding in self._by_service_region.get((service, region), {}).values()
            if holding.state == FREE
            and now_s < holding.until_s
            and not holding.is_revoked
        ]

    def acquire(self, holding, now_s):
        """Mark a free slot as occupied by a request."""
        holding.state = BUSY
        holding.since_s = now_s

    def release(self, slot, now_s):
        """Free a slot whose request or loan has ended, or drop a revoked one."""
        holding = self.holdings.get(slot)
        if holding is None:
            return
        if holding.is_revoked:
            self._remove(holding)
            return
        holding.state = FREE
        holding.since_s = now_s
        if not holding.lender:
            holding.until_s = float("inf")

    def lend(self, holding, borrower, loan_id, until_s):
        """Lease a free slot to a peer until a time."""
        holding.state = LENT
        holding.borrower = borrower
        holding.loan_id = loan_id
        holding.until_s = until_s

    def reclaim_lent(self, slot, borrower, loan_id, now_s):
        """Free a lent slot if it is still on the given loan."""
        holding = self.holdings.get(slot)
        if (
            holding is not None
            and holding.state == LENT
            and (holding.borrower, holding.loan_id) == (borrower, loan_id)
        ):
            self.release(slot, now_s)

    def borrow(self, slot, row, lender, loan_id, until_s, now_s):
        """Add a slot leased from another entry instance until a time."""
        if slot not in self.holdings:
            self._put(
                Holding(
                    slot,
                    row.service,
                    row.region,
                    FREE,
                    until_s=until_s,
                    since_s=now_s,
                    lender=lender,
                    loan_id=loan_id,
                )
            )

    def remove_borrowed(self, holding):
        """Remove a borrowed slot that is not in use."""
        self._remove(holding)

    def start_cooldown(self, holding, until_s):
        """Block a slot until its backend server has received the cancellation."""
        holding.state = COOLING
        holding.cooldown_until_s = until_s

    def count(self, service, *states):
        """Return the number of own slots of a service that are in given states."""
        return sum(
            holding.state in states and holding.service == service
            for holding in self.holdings.values()
            if not holding.lender
        )

    def _add_assigned(self, now_s):
        """Add assigned slots as pending until their former owner has released them."""
        for slot in sorted(self._assigned - self.holdings.keys()):
            row = self._rows[slot.backend_id]
            self._put(
                Holding(
                    slot,
                    row.service,
                    row.region,
                    PENDING,
                    since_s=now_s,
                    revision=self.applied,
                )
            )

    def _put(self, holding):
        self.holdings[holding.slot] = holding
        key = (holding.service, holding.region)
        self._by_service_region.setdefault(key, {})[holding.slot] = holding

    def _remove(self, holding):
        del self.holdings[holding.slot]
        del self._by_service_region[holding.service, holding.region][holding.slot]

    def _revoke(self, holding):
        """Drop a slot now, or once its request or loan has ended."""
        if holding.state in (FREE, PENDING):
            self._remove(holding)
        else:
            holding.is_revoked = True

    def _update_borrowed(self, holding, owners, lenders):
        """Revoke a borrowed slot whose lender or backend server no longer offers it."""
        row = self._rows.get(holding.slot.backend_id)
        is_open = row is not None and row.is_open
        # The assignment of other regions is unknown here; the end of the lease
        # bounds the use of their slots in any case.
        owner = owners.get(holding.slot, holding.lender)
        if not is_open or owner != holding.lender or holding.lender not in lenders:
            self._revoke(holding)
