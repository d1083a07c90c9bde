"""Tests of the attempts package."""
