"""Quotas in a large venture, where work of peers is known with a delay."""

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
# What the platform tolerates over the quota: a fraction of it and some tokens.
_TOLERANCE_FRACTION = 0.1
_TOLERANCE_TOKENS = 140_000
_NORMAL_LOAD = 0.5
_DURATION_S = 12.0
_WARMUP_S = 3.0
_STEP_S = 0.005
_COSTS = (1_200, 3_000, 16_000, 16_000)
_FLOODER = Organisation(
    'flooder', frozenset(), quota=Quota(_RATE, _BURST, True)
)


async def _max_admitted_in_window(
    node_count: int, flood: float, delay_s: float
) -> float:
    """Return the maximum that all nodes admit in any window of a flood."""
    mesh = FakeMesh(node_count, 5)
    mesh.delays_s.update(dict.fromkeys(mesh.nodes, delay_s))
    loop = asyncio.get_running_loop()
    nodes = [
        (Quotas(node, _WINDOW_S, loop.time), node)
        for node in mesh.nodes.values()
    ]
    rng = random.Random(node_count)
    admitted: deque[tuple[float, float]] = deque()
    max_admitted, in_window = 0.0, 0.0
    async with mesh:
        # Each node counts the window before its start as used up.
        await asyncio.sleep(_WINDOW_S)
        began_at_s = loop.time()
        offered = 0.0
        while loop.time() < began_at_s + _DURATION_S:
            await asyncio.sleep(_STEP_S)
            elapsed_s = loop.time() - began_at_s
            load_factor = flood if elapsed_s > _WARMUP_S else _NORMAL_LOAD
            offered += _STEP_S * _RATE * load_factor
            while offered > 0:
                cost = rng.choice(_COSTS)
                offered -= cost
                quotas, node = rng.choice(nodes)
                if not quotas.admit_or_retry_after_s(_FLOODER, cost):
                    node.send_soon()
                    admitted.append((loop.time(), cost))
                    in_window += cost
            while admitted and admitted[0][0] < loop.time() - _WINDOW_S:
                in_window -= admitted.popleft()[1]
            max_admitted = max(max_admitted, in_window)
    return max_admitted


@pytest.mark.parametrize('flood', [4.2, 7.5])
@pytest.mark.parametrize('delay_s', [0, 0.1])
def test_a_flood_over_many_nodes_stays_near_the_quota(
    flood: float, delay_s: float
) -> None:
    """A flood in a venture whose work sums are sent through relays.

    Relays delay the sums, so nodes could admit too much meanwhile.
    """
    limit = _RATE * _WINDOW_S + _BURST
    max_admitted = simulate(_max_admitted_in_window(58, flood, delay_s))
    assert max_admitted <= limit * (1 + _TOLERANCE_FRACTION) + _TOLERANCE_TOKENS
    assert max_admitted >= limit * 0.8
