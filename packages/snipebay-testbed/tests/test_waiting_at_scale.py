"""Replays overload with the kept way of waiting and the earlier one.

Guards against a rule that helps at one instance and harms all together, since instances
do not know what waits at the others.
"""

import unittest

from snipebay_testbed.waiting_study import CASES, SIZES, mean_result
from snipebay_testbed.waiting_ways import WAYS

# Seeds by size; the fewer instances, the more they differ.
SEEDS = {12: 8, 70: 3, 133: 2, 440: 1}
# About two standard errors of the difference between both ways over that many seeds, at
# the size where it is largest (24, 10, 6 and 4 other seeds of each size).
NOISE, NOISE_OF_KIND, NOISE_OF_DOMAIN = 0.02, 0.045, 0.06
WORST = 2.0


class TestKeptWay(unittest.TestCase):
    def compare(self, size):
        for case in CASES:
            seeds = range(SEEDS[size])
            old = mean_result(WAYS["arrival order (earlier)"], size, case, seeds)[0]
            new = mean_result(WAYS["kept"], size, case, seeds)[0]
            with self.subTest(instances=size, demand=case):
                least = 0.0 if case == WORST else -NOISE
                self.assertGreater(new.worth - old.worth, least)
                kind = new.worst_kind - old.worst_kind
                self.assertGreater(kind, -NOISE_OF_KIND)
                domain = new.worst_domain - old.worst_domain
                self.assertGreater(domain, -NOISE_OF_DOMAIN)
                self.assertLess(new.refused_twice - old.refused_twice, NOISE)
                self.assertLessEqual(new.refused_late, old.refused_late)

    def test_each_size(self):
        for size in SIZES:
            self.compare(size)


if __name__ == "__main__":
    unittest.main()
