"""Errors of the ledger."""


class LedgerError(Exception):
    """The ledger can't be read or a cost can't be split."""
