"""Tests of the backends package."""
