"""Bounds on what clients may cost before their requests are complete."""
