"""Detects that this instance has lost all backend servers while others reach them."""

import collections
import enum
import math

__all__ = ["Reach", "ReachMonitor"]

# Failures without a response in between, and backend servers that they concern, that
# make the links of this instance suspect. Instances with few requests need a low
# number to notice in time.
MIN_FAILURES = 3
MIN_FAILED_BACKENDS = 2
# Time without a response from any backend server while that many hold requests.
SILENCE_S = 1.0
# Interval between two suspicions, which limits the probes of a quiet instance.
SUSPICION_INTERVAL_S = 2.0
# The process did not run for a while when ticks are further apart. Responses may have
# arrived that it has not read yet.
MAX_TICK_GAP_S = 0.3
# Probes that decide on a suspicion, in as many failure domains as there are.
SUSPICION_PROBES = 4
# Interval between two probes while no backend server is reached, and the number of
# successes among the newest ones after which all are used again. Backend servers that
# are down themselves fail some of them.
PROBE_INTERVAL_S = 0.25
RECENT_PROBES = 6
PROBE_SUCCESSES = 3


class Reach(enum.Enum):
    """Whether this instance reaches backend servers."""

    REACHED = "reached"
    SUSPECTED = "suspected"
    ISOLATED = "isolated"


class ReachMonitor:
    """Tells an own loss of reach from failures of backend servers.

    Failures without any response in between raise a suspicion, and probes of other
    failure domains decide on it: a connection to a single one of them clears it.

    Attributes:
        state: :class:`Reach` of this instance.
    """

    def __init__(self):
        self.state = Reach.REACHED
        self._failed = {}
        self._failures = 0
        self._next_suspicion_s = -math.inf
        self._last_response_s = -math.inf
        self._last_tick_s = -math.inf
        self._probes_due = 0
        self._probes_running = 0
        self._next_probe_s = 0.0
        self._probe_number = 0
        self._results = collections.deque(maxlen=RECENT_PROBES)

    @property
    def is_isolated(self):
        """True while no backend server is reached from here."""
        return self.state is Reach.ISOLATED

    def on_response(self, now_s):
        """Record a response of any backend server."""
        self._last_response_s = now_s
        self._failed.clear()
        self._failures = 0

    def on_failure(self, backend):
        """Record a connection that failed, or a server that sent nothing in time.

        Args:
            backend: :class:`BackendRow` of the backend server.
        """
        self._failed[backend.backend_id] = backend.domain
        self._failures += 1

    def on_probe(self, is_connected, now_s):
        """Record the result of a probe; return True when it isolates or frees."""
        if self.state is Reach.SUSPECTED:
            return self._on_suspicion_probe(is_connected, now_s)
        if self.state is Reach.ISOLATED:
            self._results.append(is_connected)
            if sum(self._results) >= PROBE_SUCCESSES:
                self._clear(now_s)
                return True
        return False

    def tick(self, attempts, list_backends, now_s):
        """Update the suspicion.

        Args:
            attempts: Attempts in progress at backend servers.
            list_backends: Function that returns the :class:`BackendRow` of the open
                backend servers.
            now_s: Time.
        """
        is_late = now_s - self._last_tick_s > MAX_TICK_GAP_S
        self._last_tick_s = now_s
        if is_late:
            self._last_response_s = now_s
        if self.state is not Reach.REACHED or now_s < self._next_suspicion_s:
            return
        silent = {}
        if now_s - self._last_response_s >= SILENCE_S:
            silent = {
                attempt.member.row.backend_id: attempt.member.row.domain
                for attempt in attempts
                if now_s - attempt.started_s >= SILENCE_S
            }
        if self._failures < MIN_FAILURES and not silent:
            return
        backends = list_backends()
        count = min(MIN_FAILED_BACKENDS, len(backends))
        has_failed = self._failures >= MIN_FAILURES and len(self._failed) >= count
        if backends and (has_failed or len(silent) >= count):
            self._suspect(silent, backends, now_s)

    def next_probes(self, list_backends, now_s):
        """Return the backend servers to probe now.

        Args:
            list_backends: Function that returns the :class:`BackendRow` of the open
                backend servers.
            now_s: Time.
        """
        backends = () if self.state is Reach.REACHED else list_backends()
        if not backends:
            return []
        count, self._probes_due = self._probes_due, 0
        if self.state is Reach.ISOLATED and now_s >= self._next_probe_s:
            self._next_probe_s = now_s + PROBE_INTERVAL_S
            count = 1
        return self._spread(backends, count)

    def _suspect(self, silent, backends, now_s):
        self._failed |= silent
        self.state = Reach.SUSPECTED
        self._next_suspicion_s = now_s + SUSPICION_INTERVAL_S
        self._probes_due = min(SUSPICION_PROBES, len(backends))
        self._probes_running = self._probes_due

    def _spread(self, backends, count):
        """Return backend servers of different domains, those without failures first."""
        failed_domains = set(self._failed.values())
        by_domain = {}
        for row in backends:
            by_domain.setdefault(row.domain, []).append(row)
        domains = sorted(
            by_domain, key=lambda domain: (domain in failed_domains, domain)
        )
        start = self._probe_number if self.is_isolated else 0
        found = []
        for number in range(start, start + count):
            rows = by_domain[domains[number % len(domains)]]
            found.append(rows[self._probe_number // len(domains) % len(rows)])
            self._probe_number += 1
        return found

    def _on_suspicion_probe(self, is_connected, now_s):
        self._probes_running -= 1
        if is_connected:
            self._clear(now_s)
        elif not self._probes_running:
            self.state = Reach.ISOLATED
            self._results.clear()
            self._next_probe_s = now_s + PROBE_INTERVAL_S
            return True
        return False

    def _clear(self, now_s):
        self.state = Reach.REACHED
        self.on_response(now_s)
