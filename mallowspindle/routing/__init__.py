"""Chooses a backend server for each attempt."""
