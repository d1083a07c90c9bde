"""Adapter between the users' platform and this project's types."""
