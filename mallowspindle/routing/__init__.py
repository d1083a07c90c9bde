"""Routing of attempts to backend servers on the native interface."""
