"""Decisions without input or output, each for a stated load pattern."""
