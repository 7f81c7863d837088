"""Receives the request bodies of one connection within the budget of the process."""

__all__ = ["BODY_TIMEOUT_S", "HEAD_READ_BYTES", "BodyIntake"]

BODY_TIMEOUT_S = 30.0
# Read at a time outside of large bodies. What is read before a body is admitted stays
# in memory.
HEAD_READ_BYTES, BODY_READ_BYTES = 16 * 1024, 64 * 1024
# A body may wait for room for this long, and for this share of the caller's time.
MAX_BODY_WAIT_S = 2.0
BODY_WAIT_SHARE = 0.25
MAX_DEADLINE_DIGITS = 12
REJECTIONS = {
    "no_room": (503, "no room for the body now"),
    "blocked": (503, "no room for the body to grow now"),
    "stalled": (408, "the body makes no progress while others wait"),
}


class BodyIntake:
    """Reserves room for the body that arrives on a connection, and stores it.

    Args:
        connection: The :class:`HttpConnection`.

    Attributes:
        claim: :class:`Claim` of the body that arrives, or None.
    """

    def __init__(self, connection):
        self.connection = connection
        self.server = connection.server
        self.stream = connection.stream
        self.claim = None

    def open(self, exchange, length, arrived):
        """Reserve room for a body, or pause the stream until there is room.

        Args:
            exchange: The request whose head has arrived.
            length: Length of its body, None if it is not announced.
            arrived: Number of bytes behind the head that are in memory already.
        """
        server, budget = self.server, self.server.budget
        weight = exchange.body_weight
        limit = min(exchange.body_limit, budget.max_body_bytes / weight)
        exchange.body_limit = limit
        if (length or 0) > limit:
            self._reject_oversized(limit)
            return
        claim = self.claim = budget.open(
            self, length, arrived, server.clock(), self._max_wait_s(exchange), weight
        )
        exchange.body.on_discarded = lambda: server.release(claim, self.stream)
        if claim.is_waiting:
            self.connection.set_deadline(None)
            self.stream.pause()
        elif claim.reserved > HEAD_READ_BYTES:
            self.stream.read_bytes = BODY_READ_BYTES

    def receive(self, exchange, data):
        """Store a part of the body."""
        claim = self.claim
        if exchange is None or exchange.is_done or claim is None:
            return
        exchange.body.append(data)
        now_s = self.server.clock()
        claim.record(len(data), now_s)
        if len(exchange.body) > exchange.body_limit:
            self._reject_oversized(exchange.body_limit)
        elif claim.length is None:
            self._grow(claim, now_s)

    def end(self):
        """Note that the body is complete."""
        claim, self.claim = self.claim, None
        if claim is not None:
            self.server.budget.complete(claim)
            self.stream.read_bytes = HEAD_READ_BYTES

    def note_progress(self):
        """Note that it was this process that has not handled input earlier."""
        if self.claim is not None and not self.claim.is_waiting:
            self.claim.progress_s = self.server.clock()

    # --- decisions of the budget ------------------------------------------

    def on_admitted(self, claim):
        """Continue with a body that has got the room it waited for."""
        if not self.stream.is_open or claim is not self.claim:
            return
        if self.connection.deadline_s == float("inf"):
            self.connection.set_deadline(BODY_TIMEOUT_S)
        if claim.reserved > HEAD_READ_BYTES:
            self.stream.read_bytes = BODY_READ_BYTES
        self.connection.continue_reading()

    def give_up(self, claim, reason):
        """Reject a body that has to make room, unless input has waited for it.

        In a process that was suspended, input may have waited longer than the timeout.
        """
        if reason == "stalled":
            if not self.connection.is_deferred:
                self.stream.handle_read()
            if not self.server.budget.is_stalled(claim, self.server.clock()):
                return
        if claim is not self.claim or claim.is_released or not self.stream.is_open:
            return
        self.server.budget.rejected[reason] += 1
        self.connection.reject(*REJECTIONS[reason], reason)

    # --- shared -----------------------------------------------------------

    def _max_wait_s(self, exchange):
        """Return for how long a body may wait, by the caller's remaining time."""
        text = exchange.header(self.server.deadline_header)
        if text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS:
            return min(MAX_BODY_WAIT_S, BODY_WAIT_SHARE * int(text) / 1_000)
        return MAX_BODY_WAIT_S

    def _reject_oversized(self, limit):
        self.server.budget.rejected["too_large"] += 1
        self.connection.reject(413, f"the body is over the limit of {int(limit)} bytes")

    def _grow(self, claim, now_s):
        """Reserve room for the next read of a body without a length."""
        step = min(BODY_READ_BYTES, max(HEAD_READ_BYTES, claim.received))
        if claim.room_left > step // 2:
            return
        if not self.server.budget.grow(claim, claim.received + step, now_s):
            self.stream.pause()
        elif step == BODY_READ_BYTES:
            self.stream.read_bytes = BODY_READ_BYTES
