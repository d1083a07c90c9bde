"""Tests of the policy simulation."""
