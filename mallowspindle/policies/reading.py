"""Which entry VM reads the store next.

Load pattern: many entry VMs want the same few streams, and each call has a
price. One node reads and tells the others; the next in the order takes over
when its news stops, whatever the cause.
"""

# Time that the reader's news needs to arrive before the next node reads.
_FIRST_MARGIN_S = 0.35
# Lead that each further node gives to those before it.
_STEP_S = 0.15
# No node waits longer than this beyond the interval.
_MOST_MARGIN_S = 0.65


def reading_delay_s(interval_s: float, rank: int) -> float:
    """Return the age of knowledge at which the node of ``rank`` reads."""
    if rank == 0:
        return interval_s
    margin_s = _FIRST_MARGIN_S + _STEP_S * (rank - 1)
    return interval_s + min(margin_s, _MOST_MARGIN_S)
