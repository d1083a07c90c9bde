"""Tests, mirroring the package's modules."""
