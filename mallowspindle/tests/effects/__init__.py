"""Tests of at-most-once calls."""
