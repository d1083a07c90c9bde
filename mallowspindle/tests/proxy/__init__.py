"""Tests of the proxy package."""
