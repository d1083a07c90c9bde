"""Discrete-event simulation of the policies under load patterns.

Simulates model engines, callers, and entry VMs that learn of each other's load
with a delay; there is no network. The results rank policies only as far as the
ranking agrees with the benchmark; the developer guide says where it does.
"""
