"""Replays load patterns against the policies, without the network.

An emulator of model engines, callers and entry VMs that know each other's work
late. What it says of a policy counts only as far as its ranking matches what
the bench measures; the developer guide tells where it does.
"""
