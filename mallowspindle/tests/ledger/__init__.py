"""Tests of the ledger package."""
