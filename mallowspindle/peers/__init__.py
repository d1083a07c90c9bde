"""Authenticated message streams between entry VMs."""
