"""Tests of the recovery package."""
