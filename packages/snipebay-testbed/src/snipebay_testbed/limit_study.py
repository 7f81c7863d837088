"""Compares ways to share the rate limits of backend servers, in virtual time.

Requests arrive at random entry instances, twice as many as the limits allow. Each way
decides which instance may send when, and pays for the messages that this takes.
"""

import abc
import collections
import itertools

import attrs
import cyclopts
import numpy as np
from snipebay_policy.rate_bucket import RateBucket
from snipebay_policy.slot_assignment import rendezvous_rank

__all__ = ["LimitStudy", "StudyResult", "run_study"]

WINDOW_S = 4.0
SECONDS = 24.0
RENEW_INTERVAL_S = 0.5
LEASE_S = 3.0
REGION_RTT_S = 0.008
FROZEN_FROM_S, FROZEN_FOR_S = 10.0, 5.0
TRIES = 2
app = cyclopts.App(help=__doc__)


@attrs.frozen
class StudyResult:
    """Figures of one way at one size.

    Attributes:
        used: Requests sent as a share of what the limits allow.
        worst_window: Largest number of requests to one backend server in any 4 s,
            as a share of one and a half times its limit, and 5 requests.
        messages_per_s: Messages beyond renewals, per second.
        extra_bytes: Bytes that control adds to one reply to a renewal.
    """

    used: float
    worst_window: float
    messages_per_s: float
    extra_bytes: int


class LimitStudy(abc.ABC):
    """One way to share limits.

    Args:
        entries: Number of entry instances.
        limits: Limit of each backend server, in requests per second.
        frozen: Numbers of the instances that are frozen for a while.
        rng: Random generator.
    """

    def __init__(self, entries, limits, frozen, rng):
        self.entries = entries
        self.limits = limits
        self.frozen = frozen
        self.rng = rng
        self.messages = 0

    def candidates(self, entry):
        """Return the backend servers that an instance may try, in random order."""
        return self.rng.permutation(len(self.limits))

    @abc.abstractmethod
    def try_send(self, entry, backend, now_s):
        """Return True if an instance may send a request to a backend server."""

    def extra_bytes(self):
        return 12 * len(self.limits)

    def is_frozen(self, entry, now_s):
        return entry in self.frozen and 0 <= now_s - FROZEN_FROM_S < FROZEN_FOR_S


class EqualParts(LimitStudy):
    """Every instance may use an equal part of each limit."""

    def __init__(self, *args):
        super().__init__(*args)
        self.buckets = {
            (entry, number): RateBucket(limit / self.entries, 1.0, 0.0)
            for entry in range(self.entries)
            for number, limit in enumerate(self.limits)
        }

    def try_send(self, entry, backend, now_s):
        return _take(self.buckets[entry, backend], now_s)


class ThreeOwners(LimitStudy):
    """Three instances by rendezvous hash may use a third of a limit each."""

    owner_count = 3

    def __init__(self, *args):
        super().__init__(*args)
        self.buckets = {
            (entry, number): RateBucket(limit / self.owner_count, 1.0, 0.0)
            for number, limit in enumerate(self.limits)
            for entry in self._ranked(number)[: self.owner_count]
        }
        self._by_entry = collections.defaultdict(list)
        for entry, number in self.buckets:
            self._by_entry[entry].append(number)

    def _ranked(self, number):
        names = sorted(
            range(self.entries), key=lambda e: rendezvous_rank(f"e{e}", f"b{number}")
        )
        return names

    def candidates(self, entry):
        return self.rng.permutation(self._by_entry[entry])

    def try_send(self, entry, backend, now_s):
        return _take(self.buckets[entry, backend], now_s)


class DealtParts(LimitStudy):
    """Control deals each limit by the demand that instances reported last."""

    def __init__(self, *args):
        super().__init__(*args)
        self.buckets = {}
        self.wanted = collections.Counter()
        self.dealt_s = 0.0

    def try_send(self, entry, backend, now_s):
        while now_s >= self.dealt_s + RENEW_INTERVAL_S:
            self.dealt_s += RENEW_INTERVAL_S
            self._deal(self.dealt_s)
        self.wanted[entry, backend] += 1
        bucket = self.buckets.get((entry, backend))
        return bucket is not None and _take(bucket, now_s)

    def _deal(self, now_s):
        total = collections.Counter()
        for (_, backend), count in self.wanted.items():
            total[backend] += count
        old, self.buckets = self.buckets, {}
        for (entry, backend), count in self.wanted.items():
            per_s = self.limits[backend] * count / total[backend]
            bucket = old.get((entry, backend)) or RateBucket(per_s, 1.0, now_s)
            bucket.set_rate(per_s, 1.0, now_s)
            self.buckets[entry, backend] = bucket
        self.wanted = collections.Counter(
            {key: 0.9 * count for key, count in self.wanted.items() if count > 0.1}
        )

    def extra_bytes(self):
        parts = len(self.buckets) / self.entries
        return round(12 * parts)


class OwnerPermits(LimitStudy):
    """One owner by rendezvous hash grants permits; the second one a quarter as many.

    A frozen owner answers nothing until its lease has expired and the second one
    takes over.
    """

    deputy_share = 0.25

    def __init__(self, *args):
        super().__init__(*args)
        self.owners = [
            sorted(
                range(self.entries),
                key=lambda e, n=number: rendezvous_rank(f"e{e}", f"b{n}"),
            )[:2]
            for number in range(len(self.limits))
        ]
        self.buckets = {
            (owner, number): RateBucket(limit, 1.0 + limit / 4, 0.0)
            for number, limit in enumerate(self.limits)
            for owner in self.owners[number]
        }
        self.due_s = {}

    def try_send(self, entry, backend, now_s):
        if now_s < self.due_s.get((entry, backend), 0.0):
            return False
        owner, deputy = self.owners[backend]
        if self.is_frozen(owner, now_s):
            self.messages += entry != owner
            return self._ask(entry, deputy, backend, now_s, self._deputy_share(now_s))
        return self._ask(entry, owner, backend, now_s, 1.0)

    def _deputy_share(self, now_s):
        return 1.0 if now_s - FROZEN_FROM_S > LEASE_S else self.deputy_share

    def _ask(self, entry, owner, backend, now_s, share):
        self.messages += 2 * (entry != owner)
        limit = self.limits[backend]
        bucket = self.buckets[owner, backend]
        bucket.set_rate(limit * share, 1.0 + limit * share / 4, now_s)
        due_in_s = bucket.due_in_s(now_s)
        if due_in_s > 0:
            self.due_s[entry, backend] = now_s + due_in_s
            return False
        bucket.take(now_s)
        return True


WAYS = (EqualParts, ThreeOwners, DealtParts, OwnerPermits)


def run_study(way, entries, backends, limit_per_s, load, seed):
    """Return the :class:`StudyResult` of one way.

    Args:
        way: Class of the way.
        entries: Number of entry instances, a tenth of which freezes for 5 s.
        backends: Number of limited backend servers.
        limit_per_s: Mean limit; the limits vary by half of it.
        load: Requests as a multiple of what the limits allow.
        seed: Random seed.
    """
    rng = np.random.default_rng(seed)
    limits = [float(x) for x in rng.uniform(0.5, 1.5, backends) * limit_per_s]
    frozen = set(rng.permutation(entries)[: max(1, entries // 10)].tolist())
    study = way(entries, limits, frozen, rng)
    per_s = load * sum(limits)
    sent = collections.defaultdict(list)
    now_s = 0.0
    while (now_s := now_s + float(rng.exponential(1 / per_s))) < SECONDS:
        entry = int(rng.integers(entries))
        if study.is_frozen(entry, now_s):
            continue
        for backend in itertools.islice(study.candidates(entry), TRIES):
            if study.try_send(entry, int(backend), now_s):
                sent[int(backend)].append(now_s)
                break
    total = sum(map(len, sent.values()))
    windows = (
        _largest_window(times) / (1.5 * limits[number] * WINDOW_S + 5)
        for number, times in sent.items()
    )
    worst = max(windows, default=0.0)
    return StudyResult(
        total / (sum(limits) * SECONDS),
        worst,
        study.messages / SECONDS,
        study.extra_bytes(),
    )


def _take(bucket, now_s):
    if bucket.due_in_s(now_s) > 0:
        return False
    bucket.take(now_s)
    return True


def _largest_window(times):
    """Return the largest number of sorted times within any ``WINDOW_S``."""
    first, largest = 0, 0
    for i, at_s in enumerate(times):
        while at_s - times[first] > WINDOW_S:
            first += 1
        largest = max(largest, i - first + 1)
    return largest


@app.default
def main(*, seeds: int = 5):
    """Print the table of the design note.

    Args:
        seeds: Random seeds to average over.
    """
    print("| way | instances | limit | used | worst 4 s | messages/s | bytes |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    sizes = ((12, 10), (100, 40), (440, 110))
    for way, (entries, backends), limit in itertools.product(WAYS, sizes, (0.5, 5.0)):
        rows = [
            run_study(way, entries, backends, limit, 2.0, seed)
            for seed in range(1, seeds + 1)
        ]
        used = np.mean([row.used for row in rows])
        worst = max(row.worst_window for row in rows)
        messages = np.mean([row.messages_per_s for row in rows])
        extra = rows[0].extra_bytes
        print(
            f"| {way.__name__} | {entries} | {limit} | {used:.2f} | {worst:.2f} "
            f"| {messages:.0f} | {extra} |"
        )


if __name__ == "__main__":
    app()
