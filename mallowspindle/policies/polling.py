"""Which entry VM reads the store next.

Load pattern: many entry VMs want the same few streams, and each call has a
price. One node reads and tells the others; the next in the order takes over
when its news stops, whatever the cause.
"""

# Time that the reader's news needs to arrive before the next node reads.
_FIRST_MARGIN_S = 0.35
# Lead that each of the next nodes gives to those before it.
_STEP_S = 0.15
# So many nodes after the reader wait for one another. The others share the
# rest of the time: a leaving server must be known everywhere within 2 s.
_STEPPED = 3
_SPREAD_S = 0.25


def polling_delay_s(interval_s: float, rank: int, nodes: int = 1) -> float:
    """Return the age of knowledge at which the node of ``rank`` reads."""
    if rank == 0:
        return interval_s
    margin_s = _FIRST_MARGIN_S + _STEP_S * (min(rank, _STEPPED) - 1)
    if rank > _STEPPED:
        others = max(nodes - 1, rank) - _STEPPED
        margin_s += _SPREAD_S * (rank - _STEPPED) / others
    return interval_s + margin_s
