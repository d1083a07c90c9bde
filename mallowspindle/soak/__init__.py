"""Plays seeded schedules of disturbances against real processes."""
