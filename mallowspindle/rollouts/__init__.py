"""Rollouts of new software versions."""
