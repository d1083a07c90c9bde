"""Demos, benchmarks and test processes on loopback."""
