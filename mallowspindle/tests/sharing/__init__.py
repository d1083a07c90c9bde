"""Tests of the sharing package."""
