"""Compares ways to keep the quota of a workspace, in virtual time.

A workspace sends nine times its usual rate, through a third of the instances at a time,
which changes every 3 s. Then half of the instances are cut off from the others for 6 s,
with requests at all of them. At last the leader or owner is lost at the usual rate.
"""

import cyclopts
import numpy as np
from snipebay_policy.rate_bucket import RateBucket

from snipebay_testbed.quota_rig import QuotaRig, largest_window

__all__ = ["run_study"]

WINDOW_S = 5.0
LIMIT, USUAL, FACTOR = 320.0, 200.0, 9
PHASE_S, PHASES = 3.0, 6
# An instance without a lease is removed from the view after 3 s, and the credit that it
# granted may be used for another second.
LOST_OWNER_S = 4.0
LOST_LEADER_S = 1.5
AFTER_LOSS_S = 8.0
CUT_S = 6.0
LEASE_TOKENS_S = 0.25
EXCHANGE_S = 0.5
DELAY_S = 0.02
app = cyclopts.App(help=__doc__)


class OwnerTokens:
    """One instance owns the limit and leases tokens to the others."""

    def __init__(self, entries):
        self.bucket = RateBucket(LIMIT, LIMIT, 0.0)
        self.tokens = np.zeros(entries)
        self.expires_s = np.zeros(entries)
        self.messages = 0
        self.lost_until_s = 0.0
        self.lease = max(1, int(USUAL / entries * LEASE_TOKENS_S))
        self.cut = 0

    def admit(self, entry, now_s):
        """Return when a request is sent, or None if it is refused."""
        if self.tokens[entry] >= 1 and now_s < self.expires_s[entry]:
            self.tokens[entry] -= 1
            return now_s
        if now_s < self.lost_until_s or entry < self.cut:
            return None
        self.messages += 2
        self.bucket.update(now_s)
        granted = min(self.lease, int(self.bucket.credit))
        if not granted:
            return None
        self.bucket.credit -= granted
        self.tokens[entry], self.expires_s[entry] = granted - 1, now_s + 1.0
        return now_s + 2 * DELAY_S

    def lose(self, now_s):
        self.lost_until_s = now_s + LOST_OWNER_S
        self.bucket = RateBucket(LIMIT, LIMIT, self.lost_until_s)


class ExchangedCounts:
    """Each instance uses its share of the limit by the counts last exchanged."""

    def __init__(self, entries):
        self.counts = np.zeros(entries)
        self.buckets = [
            RateBucket(LIMIT / entries, LIMIT / entries, 0.0) for _ in range(entries)
        ]
        self.next_s = EXCHANGE_S
        self.messages = self.cut = 0
        self.lost_until_s = 0.0

    def admit(self, entry, now_s):
        """Return when a request is sent, or None if it is refused."""
        if now_s >= self.next_s and now_s >= self.lost_until_s:
            self.next_s = now_s + EXCHANGE_S
            known = self.counts[self.cut :] + 0.1
            shares = known / known.sum()
            for bucket, share in zip(self.buckets[self.cut :], shares, strict=True):
                part = max(1.0, LIMIT * share)
                bucket.set_rate(LIMIT * share, part, now_s)
            self.counts *= 0.5
        self.counts[entry] += 1
        bucket = self.buckets[entry]
        bucket.update(now_s)
        if bucket.credit < 1.0:
            return None
        bucket.take(now_s)
        return now_s

    def lose(self, now_s):
        self.lost_until_s = now_s + LOST_LEADER_S


def run_way(way, entries, rng):
    """Return the times of requests sent in both stages, and the messages."""
    sent, start_s = [], 0.0
    for phase in range(PHASES):
        group = np.arange(entries)[phase % 3 :: 3]
        group = group if len(group) else np.arange(entries)
        sent += _arrivals(way, group, FACTOR * USUAL, start_s, PHASE_S, rng)
        start_s += PHASE_S
    messages = way.messages
    way.cut = entries // 2
    sent += _arrivals(way, np.arange(entries), FACTOR * USUAL, start_s, CUT_S, rng)
    way.cut = 0
    start_s += CUT_S
    sent += _arrivals(way, np.arange(entries), USUAL, start_s, PHASE_S, rng)
    way.lose(start_s + PHASE_S)
    sent += _arrivals(
        way, np.arange(entries), USUAL, start_s + PHASE_S, AFTER_LOSS_S, rng
    )
    return sorted(sent), messages


def _arrivals(way, group, per_s, start_s, seconds, rng):
    times = start_s + np.sort(rng.uniform(0, seconds, rng.poisson(per_s * seconds)))
    found = (way.admit(int(rng.choice(group)), float(time)) for time in times)
    return [time for time in found if time is not None]


def run_parts(entries):
    """Return the same for parts distributed by the leader."""
    rig = QuotaRig(entries, (("w", LIMIT),))
    for phase in range(PHASES):
        group = rig.instances[phase % 3 :: 3] or rig.instances
        rig.load("w", FACTOR * USUAL, PHASE_S, group)
        rig.run_for(PHASE_S)
    messages = rig.messages
    half = rig.instances[: entries // 2]
    for is_cut in (True, False):
        for instance in half:
            instance.is_cut = is_cut
        if is_cut:
            rig.load("w", FACTOR * USUAL, CUT_S)
            rig.run_for(CUT_S)
    rig.load("w", USUAL, PHASE_S + AFTER_LOSS_S)
    rig.run_for(PHASE_S)
    rig.lose_leader()
    rig.run_for(LOST_LEADER_S)
    rig.elect()
    rig.run_for(AFTER_LOSS_S - LOST_LEADER_S)
    return rig.ran["w"], messages


def run_study(entries):
    """Return rows of way, worst window as a share of the bound, share of the limit
    used, messages per second and share served after a loss.
    """
    rng = np.random.default_rng(1)
    results = {
        "parts": run_parts(entries),
        "owner": run_way(OwnerTokens(entries), entries, rng),
        "counts": run_way(ExchangedCounts(entries), entries, rng),
    }
    loaded_s = PHASE_S * PHASES
    lost_s = loaded_s + CUT_S + PHASE_S
    rows = []
    for way, (times, messages) in results.items():
        times = np.asarray(times)
        worst = largest_window(times, WINDOW_S) / (LIMIT * WINDOW_S + LIMIT)
        used = ((times >= PHASE_S) & (times < loaded_s)).sum()
        served = (times >= lost_s).sum() / (USUAL * AFTER_LOSS_S)
        used_share = used / (LIMIT * (loaded_s - PHASE_S))
        rows.append((way, worst, used_share, messages / loaded_s, served))
    return rows


@app.default
def main(*entries: int):
    """Print the figures of each way, at some numbers of instances."""
    for count in entries or (12, 70, 440):
        for way, worst, used, per_s, served in run_study(count):
            figures = f"{worst:.2f} {used:.2f} {per_s:.0f} {served:.2f}"
            print(f"{count} {way}: {figures}")


if __name__ == "__main__":
    app()
