"""Policies: pure decision functions, each for a stated load pattern."""
