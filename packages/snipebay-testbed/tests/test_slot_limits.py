"""Tests that instances with assigned slots keep the limits of backend servers."""

import unittest

from snipebay_testbed.deployments import DEPLOYMENTS
from snipebay_testbed.system_rig import SystemRig

GRACE_S = 4.0
SERVICE = "verificador"


class TestLimitsBySlots(unittest.TestCase):
    """Slots bound the requests at once, but not the requests a second."""

    def start(self, seed, limit_per_s, load_per_s=400.0):
        self.rig = SystemRig(DEPLOYMENTS["marina"], seed).start()
        self.rig.offer_poisson_load(SERVICE, load_per_s, 30.0)
        self.run_for(2.0)
        self.backends = [
            b for b in self.rig.backends.values() if b.row.service == SERVICE
        ]
        self.limited = self.backends[::2]
        for backend in self.limited:
            backend.limit_per_s = limit_per_s
        self.from_s = self.rig.now_s + GRACE_S

    def run_for(self, seconds):
        self.rig.scheduler.run_for(seconds)

    def worst_window(self, backend):
        times = [at_s for at_s in backend.arrived_s if at_s >= self.from_s]
        return max((sum(0 <= t - s < 4.0 for t in times) for s in times), default=0)

    def test_limits_are_kept_and_used(self):
        for seed, limit_per_s in ((1, 2.0), (2, 6.0)):
            self.start(seed, limit_per_s)
            self.run_for(12.0)
            worst = max(map(self.worst_window, self.limited))
            self.assertLessEqual(worst, 1.5 * 4.0 * limit_per_s + 5)
            from_s = self.rig.now_s - 6.0
            used = sum(t >= from_s for b in self.limited for t in b.arrived_s)
            self.assertGreater(used / (6.0 * limit_per_s * len(self.limited)), 0.5)

    def test_limits_are_kept_while_an_instance_restarts(self):
        self.start(3, 3.0)
        host = self.rig.entries["e01"]
        self.run_for(5.0)
        host.kill()
        self.run_for(1.0)
        host.start()
        self.run_for(8.0)
        worst = max(map(self.worst_window, self.limited))
        self.assertLessEqual(worst, 1.5 * 4.0 * 3.0 + 5)

    def test_rate_returns_after_the_end(self):
        self.start(4, 1.0)
        self.run_for(6.0)
        for backend in self.limited:
            backend.limit_per_s = None
        self.run_for(10.0)
        from_s = self.rig.now_s - 2.0
        used = sum(t >= from_s for b in self.limited for t in b.arrived_s)
        self.assertGreater(used / (2.0 * len(self.limited)), 5.0)


if __name__ == "__main__":
    unittest.main()
