"""Tests of the native package."""
