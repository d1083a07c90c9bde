"""Tests of the general helpers."""
