"""Which service gets a request of a split route.

Load pattern: operators move a route's requests to another service bit by bit.
"""

import random
from collections.abc import Sequence

from mallowspindle.catalog.configuration import TrafficShare


def choose_service(shares: Sequence[TrafficShare]) -> str:
    """Return a service with the probability of its weight."""
    weights = [share.weight for share in shares]
    if not any(weights):
        return shares[0].service
    return random.choices(shares, weights)[0].service
