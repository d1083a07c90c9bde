"""Tests of the daemon with stand-ins for the users' platform."""
