"""Fakes of external systems, scenario tests, the demo and benchmarks."""
