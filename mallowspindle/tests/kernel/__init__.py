"""Tests of the kernel package."""
