"""Test harnesses, fakes, stub backend servers, load generator and benchmarks."""
