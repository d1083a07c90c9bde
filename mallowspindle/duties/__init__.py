"""Duties that one entry VM at a time has towards the platform."""
