"""Quotas of a large venture, whose nodes hear each other late."""

import asyncio
import random
from collections import deque

import pytest

from mallowspindle.catalog.configuration import Organisation, Quota
from mallowspindle.proxy.quotas import Quotas
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.tests.simulation import simulate

_RATE = 450_000
_BURST = _RATE / 2
_WINDOW_S = 8.0
# What the platform grants beyond the quota: a part of it, and some tokens.
_GRANTED_PART = 0.1
_GRANTED = 140_000
_USUAL = 0.5
_LASTS_S = 12.0
_SETTLING_S = 3.0
_STEP_S = 0.005
_COSTS = (1_200, 3_000, 16_000, 16_000)
_FLOODER = Organisation(
    'flooder', frozenset(), quota=Quota(_RATE, _BURST, True)
)


async def _most_in_a_window(size: int, flood: float, delay_s: float) -> float:
    """Return the most that nodes admit in any window of a flood."""
    mesh = FakeMesh(size, 5)
    mesh.delays_s.update(dict.fromkeys(mesh.nodes, delay_s))
    loop = asyncio.get_running_loop()
    nodes = [
        (Quotas(node, _WINDOW_S, loop.time), node)
        for node in mesh.nodes.values()
    ]
    chosen = random.Random(size)
    admitted: deque[tuple[float, float]] = deque()
    most, in_window = 0.0, 0.0
    async with mesh:
        # The window before the start of a node counts as used.
        await asyncio.sleep(_WINDOW_S)
        began_at_s = loop.time()
        asked = 0.0
        while loop.time() < began_at_s + _LASTS_S:
            await asyncio.sleep(_STEP_S)
            passed_s = loop.time() - began_at_s
            times = flood if passed_s > _SETTLING_S else _USUAL
            asked += _STEP_S * _RATE * times
            while asked > 0:
                cost = chosen.choice(_COSTS)
                asked -= cost
                quotas, node = chosen.choice(nodes)
                if not quotas.admit_or_retry_after_s(_FLOODER, cost):
                    node.send_soon()
                    admitted.append((loop.time(), cost))
                    in_window += cost
            while admitted and admitted[0][0] < loop.time() - _WINDOW_S:
                in_window -= admitted.popleft()[1]
            most = max(most, in_window)
    return most


@pytest.mark.parametrize('flood', [4.2, 7.5])
@pytest.mark.parametrize('delay_s', [0, 0.1])
def test_a_flood_over_many_nodes_stays_near_the_quota(
    flood: float, delay_s: float
) -> None:
    """Replays a flood in a venture whose sums come through relays."""
    limit = _RATE * _WINDOW_S + _BURST
    most = simulate(_most_in_a_window(58, flood, delay_s))
    assert most <= limit * (1 + _GRANTED_PART) + _GRANTED
    assert most >= limit * 0.8
