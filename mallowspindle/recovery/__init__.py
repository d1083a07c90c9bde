"""Copies of accepted requests on peers, and takeover when an owner is lost."""
