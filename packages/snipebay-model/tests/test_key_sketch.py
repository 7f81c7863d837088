"""Tests of the count of distinct affinity keys over many instances."""

import random
import unittest

from snipebay_model.key_sketch import (
    SKETCH_BITS,
    KeySketch,
    estimate_count,
    join_sketches,
)


def count(sketches, now_s=0.0):
    return estimate_count(join_sketches(s.read(now_s) for s in sketches))


class TestCount(unittest.TestCase):
    def test_keys_met_by_several_instances_count_once(self):
        rng = random.Random(1)
        for keys in (10, 100, 400, SKETCH_BITS * 2):
            sketches = [KeySketch(10.0) for _ in range(185)]
            for number in range(20 * keys):
                key = f"k{number % keys}"
                rng.choice(sketches).record(key, 0.0)
            self.assertAlmostEqual(count(sketches) / keys, 1.0, delta=0.25)

    def test_saturated_sketch_has_a_finite_count(self):
        sketch = KeySketch(10.0)
        for number in range(100 * SKETCH_BITS):
            sketch.record(str(number), 0.0)
        self.assertGreater(count([sketch]), 3 * SKETCH_BITS)

    def test_no_keys(self):
        self.assertEqual(KeySketch(10.0).read(0.0), b"")
        self.assertEqual(count([KeySketch(10.0)]), 0)

    def test_keys_are_forgotten(self):
        sketch = KeySketch(10.0)
        sketch.record("k", 0.0)
        self.assertEqual(count([sketch], 12.0), 1)
        self.assertEqual(count([sketch], 23.0), 0)
        sketch.record("k", 23.0)
        self.assertEqual(count([sketch], 60.0), 0)

    def test_too_long_bits_of_another_build_are_cut(self):
        joint = join_sketches([b"\xff" * SKETCH_BITS])
        self.assertLess(estimate_count(joint), 100 * SKETCH_BITS)


if __name__ == "__main__":
    unittest.main()
