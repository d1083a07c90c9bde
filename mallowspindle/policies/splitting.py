"""Traffic splitting: which service gets a request of a split route.

Load pattern: operators shift a route's traffic to another service gradually.
"""

import random
from collections.abc import Sequence

from mallowspindle.catalog.configuration import TrafficShare


def choose_service(shares: Sequence[TrafficShare]) -> str:
    """Return a service at random, weighted by its traffic share."""
    weights = [share.weight for share in shares]
    if not any(weights):
        return shares[0].service
    return random.choices(shares, weights)[0].service
