"""Runs accepted generation requests on model engines."""
