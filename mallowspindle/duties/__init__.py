"""Calls to the platform that only one entry VM at a time makes."""
