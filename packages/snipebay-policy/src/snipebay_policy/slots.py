"""Slots that an entry instance may use: its own, and borrowed ones."""

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
    """One slot at this entry instance.

    Attributes:
        slot: The slot.
        service: Service of its backend server.
        region: Region of its backend server.
        state: ``free``, ``busy``, ``cooling``, ``lent`` or ``pending``.
        until_s: When a lent slot falls back, or a borrowed one ends.
        since_s: When it became pending, or was used last.
        revision: View revision by which a pending slot was gained.
        lender: Owner of a borrowed slot, else empty.
        borrower: Who has a lent slot.
        loan_id: Loan that a lent or borrowed slot belongs to.
        cool_until_s: When a slot of cancelled work may be used again.
        is_lost: True when the slot is no longer ours once its work ends.
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
    cool_until_s: float = 0.0
    is_lost: bool = False


@attrs.define
class SlotTable:
    """All slots held here.

    Attributes:
        entry_id: Our instance id.
        region: Our region.
        takeover_s: Time after which a former owner that was cut off from us
            has stopped using a slot.
        holdings: Holding by slot.
        applied: View revision last dealt by.
    """

    entry_id: str
    region: str
    takeover_s: float
    holdings: dict = attrs.Factory(dict)
    applied: int = 0
    _settled: int = 0
    _places: dict = attrs.Factory(dict)
    _mine: set = attrs.Factory(set)
    _rows: dict = attrs.Factory(dict)

    @property
    def settled(self):
        """Newest revision whose deal everything here fits into."""
        if any(holding.is_lost for holding in self.holdings.values()):
            return self._settled
        return self.applied

    def adopt(self, view, now_s):
        """Deal by a new view, and give up or await what changes hands."""
        self._settled = self.settled
        self.applied = view.revision
        self._rows = {row.backend_id: row for row in view.backends}
        owners = assign_slots(view, self.region)
        lenders = {row.entry_id for row in view.entries if not row.leaving}
        mine = {slot for slot, owner in owners.items() if owner == self.entry_id}
        self._mine = mine
        for slot, holding in list(self.holdings.items()):
            if holding.lender:
                self._adopt_borrowed(holding, owners, lenders)
            elif slot not in mine:
                self._lose(holding)
            else:
                holding.is_lost = False
        self._gain(now_s)

    def process_timeouts(self, floor, now_s):
        """Free what every former owner has certainly given up, and ended loans.

        Args:
            floor: Revision that every live entry instance has settled.
            now_s: Time.
        """
        for holding in list(self.holdings.values()):
            if holding.state == PENDING:
                waited = now_s - holding.since_s >= self.takeover_s
                if waited and floor >= holding.revision:
                    holding.state = FREE
                    holding.since_s = now_s
            elif (holding.state == LENT and now_s >= holding.until_s) or (
                holding.state == COOLING and now_s >= holding.cool_until_s
            ):
                self.release(holding.slot, now_s)
        self._gain(now_s)

    def free(self, service, region, now_s):
        """Return the slots of a service in a region that are ready for work."""
        return [
            holding
            for holding in self._places.get((service, region), {}).values()
            if holding.state == FREE and now_s < holding.until_s and not holding.is_lost
        ]

    def take(self, holding, now_s):
        """Use a free slot."""
        holding.state = BUSY
        holding.since_s = now_s

    def release(self, slot, now_s):
        """Free a slot whose work or loan has ended."""
        holding = self.holdings.get(slot)
        if holding is None:
            return
        if holding.is_lost:
            self._remove(holding)
            return
        holding.state = FREE
        holding.since_s = now_s
        if not holding.lender:
            holding.until_s = float("inf")

    def lend(self, holding, borrower, loan_id, until_s):
        """Keep a free slot of ours away from work until a time."""
        holding.state = LENT
        holding.borrower = borrower
        holding.loan_id = loan_id
        holding.until_s = until_s

    def take_back(self, slot, borrower, loan_id, now_s):
        """Free a lent slot if it is still out on that very loan."""
        holding = self.holdings.get(slot)
        if (
            holding is not None
            and holding.state == LENT
            and (holding.borrower, holding.loan_id) == (borrower, loan_id)
        ):
            self.release(slot, now_s)

    def borrow(self, slot, row, lender, loan_id, until_s, now_s):
        """Hold a slot of another entry instance until a time."""
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

    def give_back(self, holding):
        """Forget a borrowed slot that is not in use."""
        self._remove(holding)

    def cool(self, holding, until_s):
        """Keep a slot whose work was cancelled until the news has arrived."""
        holding.state = COOLING
        holding.cool_until_s = until_s

    def count(self, service, *states):
        """Return how many of our own slots of a service are in given states."""
        return sum(
            holding.state in states and holding.service == service
            for holding in self.holdings.values()
            if not holding.lender
        )

    def _gain(self, now_s):
        """Hold what the deal gives us, to be used once its owner gave it up."""
        for slot in sorted(self._mine - self.holdings.keys()):
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
        place = (holding.service, holding.region)
        self._places.setdefault(place, {})[holding.slot] = holding

    def _remove(self, holding):
        del self.holdings[holding.slot]
        del self._places[holding.service, holding.region][holding.slot]

    def _lose(self, holding):
        """Give a slot up, now or when its work ends."""
        if holding.state in (FREE, PENDING):
            self._remove(holding)
        else:
            holding.is_lost = True

    def _adopt_borrowed(self, holding, owners, lenders):
        """Give a borrowed slot up when its backend server closed or it is ours."""
        row = self._rows.get(holding.slot.backend_id)
        is_open = row is not None and row.is_open
        # Slots of other regions are dealt there; the loan ends them in any case.
        owner = owners.get(holding.slot, holding.lender)
        if not is_open or owner != holding.lender or holding.lender not in lenders:
            self._lose(holding)
