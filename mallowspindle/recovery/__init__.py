"""Copies of accepted requests on peers, and take-over."""
