"""Tests of the policies package."""
