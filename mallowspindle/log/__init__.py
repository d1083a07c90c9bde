"""The append-only log as the other packages see it, whoever provides it."""
