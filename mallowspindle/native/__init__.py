"""Clients of the platform's log and cloud services."""
