"""Tests of the daemon before stand-ins of the users' platform."""
