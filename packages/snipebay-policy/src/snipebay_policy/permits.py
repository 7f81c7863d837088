"""Permits for requests to backend servers with a rate limit.

One entry instance owns each limited backend server and grants a permit for every
request that any instance sends there, so the sum over all instances keeps the limit
whatever their number. The owner follows from the view by rendezvous hashing. While it
does not reply, the next one in the order grants a part of the limit, small enough that
both together stay within the tolerance of the backend server.
"""

import enum
import heapq
import itertools
import math

import attrs
from snipebay_model.messages import PermitReply, PermitRequest

from snipebay_policy.rate_bucket import RateBucket
from snipebay_policy.service_times import PRIMARY
from snipebay_policy.slot_assignment import rendezvous_rank
from snipebay_policy.work import Send

__all__ = ["Permission", "PermitSystem"]

# Three round trips between regions (0.07 s each).
REPLY_TIMEOUT_S = 0.25
# An owner without a reply is not asked again for this long.
SUSPECT_S = 1.0
# Share of the limit granted by an instance that may not be the only one to grant.
UNSURE_SHARE = 0.4
# An owner whose view is older may have been replaced: its lease has ended.
MAX_VIEW_AGE_S = 3.0
# Seconds of the rate that an idle bucket holds on top of one token.
BURST_S = 0.5
# Share of that surplus which a request must find, by affinity tier. A request for a
# key whose data is not cached there takes several times as long, so it gets a permit
# only when the requests for the backend server's own keys leave some unused.
SURPLUS_SHARES = (0.0, 0.5, 1.0)
MIN_DUE_S = 0.001
# After a denial, less urgent requests get no permit for this long.
RESERVED_S = 0.5


class Permission(enum.Enum):
    """Whether a request may be sent to a backend server."""

    GRANTED = "granted"
    DENIED = "denied"
    PENDING = "pending"


@attrs.frozen
class _Pending:
    """A permit that was requested from its owner.

    Attributes:
        row: The request.
        choice: Backend server chosen for it.
        owner: Id of the instance that was asked.
        sent_s: When it was asked.
    """

    row: object
    choice: object
    owner: str
    sent_s: float


class PermitSystem:
    """Grants permits for the backend servers that this instance owns; asks for others.

    Args:
        ctx: :class:`RoutedCore` with the tables of this entry instance.
        on_decided: Function of request, choice, :class:`Permission` and time, called
            when a pending permit is decided.
    """

    def __init__(self, ctx, on_decided):
        self.ctx = ctx
        self.counts = dict.fromkeys(("granted", "denied", "unanswered"), 0)
        self._on_decided = on_decided
        self._ids = itertools.count(1)
        self._pending = {}
        self._buckets = {}
        self._owners = {}
        self._entries = ()
        self._closed_until_s = {}
        self._suspected_until_s = {}
        self._denied_s = {}

    # --- for requests of this instance ------------------------------------

    def due_s(self, backend_id, tier, now_s):
        """Return when a permit is due, as far as known; the present if it may be."""
        if self.ctx.rate_limits.get(backend_id) is None:
            return now_s
        ends_s = self._closed_until_s.get(backend_id, {})
        return max((end_s for t, end_s in ends_s.items() if t <= tier), default=now_s)

    def is_closed(self, backend_id, tier, now_s):
        """Return True while no permit is due for a request of an affinity tier."""
        return self.due_s(backend_id, tier, now_s) > now_s

    def acquire(self, row, choice, now_s):
        """Return the :class:`Permission` for an attempt, or ask for it.

        Args:
            row: The request.
            choice: Backend server chosen for it.
            now_s: Time.
        """
        backend = choice.member.row
        limit = self.ctx.rate_limits.get(backend.backend_id)
        if limit is None:
            return Permission.GRANTED
        owner = self._first_responsive(backend, now_s)
        if owner is None:
            return self._decide(choice, SUSPECT_S, now_s)
        if owner == self.ctx.row.entry_id:
            due_in_s = self._grant(limit, row.priority, choice.tier, now_s)
            return self._decide(choice, due_in_s, now_s)
        permit_id = next(self._ids)
        self._pending[permit_id] = _Pending(row, choice, owner, now_s)
        request = PermitRequest(
            permit_id, limit.report(now_s), row.priority, choice.tier
        )
        self.ctx.queue_action(Send(owner, request))
        return Permission.PENDING

    def on_reply(self, msg, now_s):
        """Handle the reply of an owner; one that comes too late is ignored."""
        pending = self._pending.pop(msg.permit_id, None)
        if pending is None:
            return
        self._suspected_until_s.pop(pending.owner, None)
        due_in_s = 0.0 if msg.granted else max(MIN_DUE_S, msg.due_ms / 1_000)
        permission = self._decide(pending.choice, due_in_s, now_s)
        self._on_decided(pending.row, pending.choice, permission, now_s)

    def tick(self, now_s):
        """End the wait for owners that do not reply."""
        late = [
            permit_id
            for permit_id, pending in self._pending.items()
            if now_s >= pending.sent_s + REPLY_TIMEOUT_S
        ]
        for permit_id in late:
            pending = self._pending.pop(permit_id)
            if now_s >= self._suspected_until_s.get(pending.owner, -math.inf):
                self.ctx.record_event("permit owner does not reply", pending.owner)
            self._suspected_until_s[pending.owner] = now_s + SUSPECT_S
            self.counts["unanswered"] += 1
            self._on_decided(pending.row, pending.choice, Permission.DENIED, now_s)

    # --- for all instances ------------------------------------------------

    def on_request(self, sender, msg, now_s):
        """Grant or deny a permit to another instance."""
        self.ctx.rate_limits.merge(msg.limit, now_s)
        limit = self.ctx.rate_limits.get(msg.limit.backend_id)
        is_known = limit is not None and limit.born_ms == msg.limit.born_ms
        # A limit that is over here is reported with the next renewal.
        due_in_s = (
            self._grant(limit, msg.priority, msg.tier, now_s) if is_known else 0.0
        )
        reply = PermitReply(msg.permit_id, due_in_s <= 0, int(due_in_s * 1_000))
        self.ctx.queue_action(Send(sender, reply))

    def apply_view(self, view):
        """Recompute the owners when the entry instances have changed."""
        entries = tuple(row for row in view.entries if not row.leaving)
        if entries != self._entries:
            self._entries = entries
            self._owners.clear()
        known = {row.backend_id for row in view.backends}
        for table in (self._buckets, self._closed_until_s, self._denied_s):
            for backend_id in [i for i in table if i not in known]:
                del table[backend_id]
        for backend_id, domain in [key for key in self._owners if key[0] not in known]:
            del self._owners[backend_id, domain]

    def owners(self, backend):
        """Return the ids of the two instances that may grant, the owner first.

        Instances near to the backend server come first: most requests to it do.
        """
        # A backend server may come back under its id in another failure domain.
        key = (backend.backend_id, backend.domain)
        if key not in self._owners:
            nearest = heapq.nsmallest(
                2,
                self._entries,
                key=lambda row: (
                    row.domain != backend.domain,
                    row.region != backend.region,
                    rendezvous_rank(row.entry_id, backend.backend_id),
                ),
            )
            self._owners[key] = [row.entry_id for row in nearest]
        return self._owners[key]

    def is_owner(self, backend_id):
        """Return True if this instance owns a backend server in its own view."""
        member = self.ctx.fleet.members.get(backend_id)
        owners = self.owners(member.row) if member is not None else []
        return owners[:1] == [self.ctx.row.entry_id]

    # --- shared -----------------------------------------------------------

    def _first_responsive(self, backend, now_s):
        """Return the id of the instance to ask, or None if none replies."""
        owners = self.owners(backend) or [self.ctx.row.entry_id]
        responsive = (
            i for i in owners if now_s >= self._suspected_until_s.get(i, -math.inf)
        )
        return next(responsive, None)

    def _grant(self, limit, priority, tier, now_s):
        """Take a token; return 0, or the seconds until one is due if there is none."""
        backend_id = limit.backend_id
        rate_per_s = limit.rate_per_s(now_s) * self._share(backend_id, now_s)
        burst = 1.0 + BURST_S * rate_per_s
        bucket = self._buckets.get(backend_id)
        if bucket is None:
            bucket = self._buckets[backend_id] = RateBucket(rate_per_s, burst, now_s)
        bucket.set_rate(rate_per_s, burst, now_s)
        denied_s = self._denied_s.setdefault(backend_id, {})
        is_reserved = any(
            urgent < priority and now_s < at_s + RESERVED_S
            for urgent, at_s in denied_s.items()
        )
        surplus_share = 1.0 if is_reserved else SURPLUS_SHARES[tier]
        due_in_s = bucket.due_in_s(now_s, 1.0 + surplus_share * (burst - 1.0))
        if due_in_s > 0:
            if tier == PRIMARY:
                denied_s[priority] = now_s
            return max(due_in_s, MIN_DUE_S)
        denied_s.pop(priority, None)
        bucket.take(now_s)
        return 0.0

    def _share(self, backend_id, now_s):
        """Return the share of the limit that this instance may grant."""
        is_fresh = self.ctx.view_age_s(now_s) <= MAX_VIEW_AGE_S
        return 1.0 if is_fresh and self.is_owner(backend_id) else UNSURE_SHARE

    def _decide(self, choice, due_in_s, now_s):
        if due_in_s <= 0:
            self.counts["granted"] += 1
            return Permission.GRANTED
        self.counts["denied"] += 1
        ends_s = self._closed_until_s.setdefault(choice.member.row.backend_id, {})
        ends_s[choice.tier] = now_s + due_in_s
        return Permission.DENIED
