"""Tracks which entry VMs and backend servers are live or leaving."""
