"""Replays an overload in virtual time with several ways to order waiting requests.

Instances of three regions send requests of four kinds to the slots of their regions.
They see the load of a region's backend servers for only a part of their requests; the
servers queue what finds no slot, and reject what finds no room in their queue. Callers
of refused requests return once, some of them at once and more often.
"""

import bisect
import collections
import heapq
import itertools
import math

import attrs
import numpy as np
from snipebay_policy.waiting.reserve import has_room, is_late
from snipebay_policy.waiting.rows import WaitingRow
from snipebay_policy.waiting.service_order import PassedOver

from snipebay_testbed.waiting_ways import KINDS, WAYS, Delays

__all__ = ["CASES", "SIZES", "Replay", "Result", "mean_result"]

SIZES = (12, 70, 133, 440)
# Demand as a multiple of capacity; "rejecting" servers reject all at 0.9.
CASES = (0.9, 1.05, 1.3, 2.0, "rejecting")
RATES = [kind[0] for kind in KINDS]
KIND_SHARES = [share / sum(RATES) for share in itertools.accumulate(RATES)]
MEAN_S = sum(k[0] * k[1] for k in KINDS) / sum(k[0] for k in KINDS)
PER_INSTANCE_S = 4.0
CALM, CALM_S, BURST_S, TAIL_S = 0.7, 1.0, 4.0, 1.0
# Shares of the slots and of the callers of each region.
SLOT_SHARES, CALLER_SHARES = (0.5, 0.4, 0.1), (0.33, 0.34, 0.33)
SLOT_BOUNDS = (0.5, 0.9)
SWING, SWING_S = 0.55, 36.0
LATENCY_S, REGION_S = 0.006, 0.07
WAIT_SHARE, MIN_ATTEMPT_S, MIN_DELAY_S = 0.125, 0.05, 0.4
POLL_S = 0.025
# Share of the requests for which the load is seen, and requests queued at a backend
# server for each of its slots.
SEEN, SERVER_QUEUE = 0.7, 0.34
IMPATIENT, IMPATIENT_TRIES = 0.1, 3
HIT_SHARE, HIT_FACTOR = 0.4, 1 / 3


@attrs.define(eq=False)
class Call:
    """One request of a caller, with all its tries."""

    kind: int
    domain: int
    born_s: float
    work_s: float
    is_impatient: bool
    tries: int = 0
    attempts: int = 0
    arrived_s: float = 0.0
    since_s: float = 0.0
    row: object = None
    entry: object = None
    ended_s: float = math.inf
    sees: bool = True

    @property
    def deadline_s(self):
        return self.born_s + KINDS[self.kind][3]


@attrs.frozen
class Result:
    """Shares of the requests; ``worst_*`` are shares in time."""

    in_time: float
    served: float
    worst_kind: float
    worst_domain: float
    refused_twice: float
    refused_late: float

    @property
    def worth(self):
        """Value for callers: a late response is worth a fifth of one in time."""
        return self.in_time + 0.2 * (self.served - self.in_time)


@attrs.define(eq=False)
class Entry:
    delays: object
    waiting: list = attrs.Factory(list)
    passed_over: object = attrs.Factory(PassedOver)
    is_polling: bool = False


@attrs.define(eq=False)
class Pool:
    slots: int
    running: int = 0
    queue: object = attrs.Factory(collections.deque)


class Replay:
    """One run.

    Args:
        way: :class:`Way`, or None for one ideal queue before all slots, which knows
            the work of each request.
        size: Number of instances.
        case: One of :data:`CASES`.
        seed: Seed.
    """

    def __init__(self, way, size, case, seed):
        self.way, self.size, self.case = way, size, case
        self.rng = np.random.default_rng(seed)
        self.work_rng = np.random.default_rng([seed, 1])
        self.now_s, self._heap, self._order = 0.0, [], itertools.count()
        make = way.delays if way else Delays
        self.entries = [Entry(make(MIN_DELAY_S, f"e{n}")) for n in range(size)]
        self.expected_s = MEAN_S * (1 - HIT_SHARE * (1 - HIT_FACTOR))
        self.rate = PER_INSTANCE_S * size
        slots = self.rate * self.expected_s
        shares = SLOT_SHARES if way else (1.0,)
        self.pools = [Pool(max(1, round(slots * share))) for share in shares]
        self.ideal = []
        self.calls, self.twice, self.late = [], 0, 0

    def run(self):
        """Return the :class:`Result`."""
        for region in range(3):
            self._next_call(region)
        while self._heap:
            self.now_s, _, act, args = heapq.heappop(self._heap)
            act(*args)
        return self._result()

    def _at(self, due_s, act, *args):
        heapq.heappush(self._heap, (due_s, next(self._order), act, args))

    # --- callers ----------------------------------------------------------

    def _demand(self, region):
        burst = CALM_S <= self.now_s < CALM_S + BURST_S
        peak = self.case if self.case != "rejecting" else 0.9
        phase = 2 * math.pi * (self.now_s / SWING_S + region / 3)
        swing = 1 + SWING * math.sin(phase)
        return self.rate * CALLER_SHARES[region] * swing * (peak if burst else CALM)

    def _next_call(self, region):
        self.now_s += self.work_rng.exponential(1 / self._demand(region))
        if self.now_s > CALM_S + BURST_S + TAIL_S:
            return
        pick = self.work_rng.random(5)
        kind = bisect.bisect_left(KIND_SHARES, pick[0])
        factor = HIT_FACTOR if pick[1] < HIT_SHARE else 1.0
        work_s = KINDS[kind][1] * factor * (0.5 - 0.5 * math.log(1 - pick[2]))
        domain = 2 * region + int(pick[3] < 0.5)
        call = Call(kind, domain, self.now_s, work_s, pick[4] < IMPATIENT)
        self.calls.append(call)
        self._at(self.now_s, self._arrive, call)
        self._at(self.now_s, self._next_call, region)

    def _refuse(self, call, after_s=None):
        left_s = call.deadline_s - self.now_s
        if after_s is None:
            after_s = call.entry.delays.after_s(self.now_s, left_s)
        call.tries += 1
        if call.tries >= (IMPATIENT_TRIES if call.is_impatient else 2) or left_s <= 0:
            self.twice += call.tries > 1
            return
        wait_s = 0.02 if call.is_impatient else min(after_s, left_s / 3)
        self._at(self.now_s + wait_s + LATENCY_S, self._arrive, call)

    # --- instances --------------------------------------------------------

    def _arrive(self, call):
        call.arrived_s = call.since_s = self.now_s
        call.attempts = 0
        call.sees = self.rng.random() < SEEN
        if self.way is None:
            self.ideal.append(call)
            self._serve_ideal()
            return
        # The instances of a domain are those whose number has its remainder by six.
        index = int(self.rng.integers(self.size // 6)) * 6 + call.domain
        call.entry = self.entries[index]
        self._wait(call)

    def _wait(self, call):
        _, _, target_s, timeout_s = KINDS[call.kind]
        call.row = WaitingRow(
            id(call),
            (call.kind,),
            1,
            0.0,
            call.arrived_s,
            call.since_s,
            target_s,
            call.deadline_s,
            timeout_s,
            self.expected_s,
        )
        call.entry.waiting.append(call)
        self._dispatch(call.entry)

    def _poll(self, entry):
        entry.is_polling = False
        self._dispatch(entry)

    def _dispatch(self, entry):
        calls = {id(call): call for call in entry.waiting}
        rows = [call.row for call in entry.waiting]
        order = self.way.order(rows, entry.passed_over, self.now_s)
        ordered = {row.request_id for row in order}
        for call in [c for i, c in calls.items() if i not in ordered]:
            entry.waiting.remove(call)
            self._refuse(call)
        for row in order:
            call = calls[row.request_id]
            if self._try(call):
                entry.waiting.remove(call)
                entry.delays.record_served("s", self.now_s)
                groups = [other.row.group for other in entry.waiting]
                entry.passed_over.record(row.group, groups)
                continue
            if self.now_s >= self._ends_s(call):
                entry.waiting.remove(call)
                early_s = call.arrived_s + row.latency_s * WAIT_SHARE
                self.late += not call.attempts and self.now_s > early_s
                self._refuse(call)
        if entry.waiting and not entry.is_polling:
            entry.is_polling = True
            self._at(self.now_s + POLL_S, self._poll, entry)

    def _ends_s(self, call):
        wait_s = call.row.latency_s * WAIT_SHARE
        return self.way.ends_s(call.row, wait_s, MIN_ATTEMPT_S, self.now_s)

    def _try(self, call):
        """Return True when a request was sent to the servers of a region."""
        region = bisect.bisect_left(SLOT_BOUNDS, self.rng.random())
        pool = self.pools[region]
        load, now_s = pool.running + len(pool.queue), self.now_s
        has = load < pool.slots * (1 + SERVER_QUEUE)
        if self.way.has_reserve and is_late(call.row, now_s):
            has = has_room(load, pool.slots, self._ends_s(call), now_s)
        if call.sees and not has:
            return False
        way_s = LATENCY_S / 2 + (REGION_S / 2 if region != call.domain // 2 else 0.0)
        self._at(self.now_s + way_s, self._reach_server, call, pool, way_s)
        return True

    # --- servers ----------------------------------------------------------

    def _reach_server(self, call, pool, way_s):
        call.attempts += 1
        burst_s = self.now_s - CALM_S
        rejects = self.case == "rejecting" and 0.5 <= burst_s < 2.5
        if rejects or len(pool.queue) >= pool.slots * SERVER_QUEUE:
            self._at(self.now_s + way_s, self._on_rejected, call)
        elif pool.running < pool.slots:
            self._start(call, pool, way_s)
        else:
            pool.queue.append((call, way_s))

    def _on_rejected(self, call):
        if call.attempts < 2 and self.now_s + MIN_ATTEMPT_S < call.deadline_s:
            call.since_s = self.now_s
            self._wait(call)
        else:
            self._refuse(call)

    def _start(self, call, pool, way_s):
        pool.running += 1
        call.ended_s = self.now_s + call.work_s + way_s + LATENCY_S / 2
        self._at(self.now_s + call.work_s, self._end, call, pool)

    def _end(self, call, pool):
        pool.running -= 1
        while pool.queue:
            other, way_s = pool.queue.popleft()
            if self.now_s < other.deadline_s:
                self._start(other, pool, way_s)
                break
        if self.way is None:
            self._serve_ideal()
        elif call.entry.waiting:
            self._dispatch(call.entry)

    def _serve_ideal(self):
        pool, now_s = self.pools[0], self.now_s
        while self.ideal and pool.running < pool.slots:
            ends_s = {id(c): now_s + c.work_s + LATENCY_S for c in self.ideal}
            self.ideal = [c for c in self.ideal if ends_s[id(c)] <= c.deadline_s]
            if not self.ideal:
                return
            call = min(
                self.ideal,
                key=lambda c: (
                    ends_s[id(c)] > c.born_s + KINDS[c.kind][2],
                    c.work_s,
                ),
            )
            self.ideal.remove(call)
            self._start(call, pool, LATENCY_S / 2)

    # --- result -----------------------------------------------------------

    def _result(self):
        kinds, domains = collections.defaultdict(list), collections.defaultdict(list)
        served = 0
        for call in self.calls:
            if call.born_s < CALM_S:
                continue
            served += call.ended_s <= call.deadline_s
            is_in_time = call.ended_s <= call.born_s + KINDS[call.kind][2]
            kinds[call.kind].append(is_in_time)
            domains[call.domain].append(is_in_time)
        total = sum(map(len, kinds.values()))
        return Result(
            sum(map(sum, kinds.values())) / total,
            served / total,
            min(sum(found) / len(found) for found in kinds.values()),
            min(sum(found) / len(found) for found in domains.values()),
            self.twice / len(self.calls),
            self.late / len(self.calls),
        )


def mean_result(way, size, case, seeds):
    """Return the mean :class:`Result` over seeds, and the standard error of worth."""
    found = [Replay(way, size, case, seed).run() for seed in seeds]
    worths = [result.worth for result in found]
    spread = float(np.std(worths, ddof=1)) if len(worths) > 1 else math.nan
    error = spread / math.sqrt(len(worths))
    rows = zip(*(attrs.astuple(result) for result in found), strict=True)
    return Result(*(sum(row) / len(found) for row in rows)), error


def main():
    """Print the results of all ways."""
    for case, size in itertools.product(CASES, SIZES):
        seeds = range(max(2, min(12, 800 // size)))
        print(f"demand {case}, {size} instances, {len(seeds)} seeds")
        for name, way in WAYS.items():
            result, error = mean_result(way, size, case, seeds)
            fields = " ".join(f"{x:.3f}" for x in attrs.astuple(result))
            print(f"  {name:28s} {result.worth:.3f}+-{error:.3f}  {fields}", flush=True)


if __name__ == "__main__":
    main()
