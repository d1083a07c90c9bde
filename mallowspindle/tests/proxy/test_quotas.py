"""Quotas in a large venture, where work of peers is known with a delay."""

import asyncio
import random
from collections import Counter, deque

import pytest

from mallowspindle.catalog.configuration import Organisation, Quota
from mallowspindle.policies.quota_forecast import QuotaTolerance
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
# The nodes that have just started, in seconds, and the streams that were cut.
_START_S = 0.8
_RETURN_S = 4.0
_STEPS_PER_RETURN = 80
# An organisation of a small venture, whose long prompts break off.
_SMALL_RATE = 60_000
_LONG_COST = 12_000
_NEW_COSTS = (800, 800, 2_400, 2_400, _LONG_COST)
_SMALL = Organisation(
    'small', frozenset(), quota=Quota(_SMALL_RATE, _SMALL_RATE / 2, True)
)
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
        (Quotas(node, _WINDOW_S, clock=loop.time), node)
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


async def _admitted_after_restart(load: float) -> tuple[float, float]:
    """Return which parts of new and of taken up streams are admitted.

    All nodes have just started, and the streams that broke off are taken up
    during the next seconds, each once.
    """
    mesh = FakeMesh(8, 4)
    loop = asyncio.get_running_loop()
    nodes = [
        (Quotas(node, _WINDOW_S, clock=loop.time), node)
        for node in mesh.nodes.values()
    ]
    rng = random.Random(1)
    admitted: Counter[bool] = Counter()
    offered = 0.0

    def admit(cost: int, *, resumes_stream: bool) -> None:
        quotas, node = rng.choice(nodes)
        if not quotas.admit_or_retry_after_s(
            _SMALL, cost, resumes_stream=resumes_stream
        ):
            admitted[resumes_stream] += 1
            node.send_soon()

    async with mesh:
        await asyncio.sleep(_START_S)
        new = 0
        for step in range(round(_RETURN_S / _STEP_S)):
            await asyncio.sleep(_STEP_S)
            offered += _STEP_S * _SMALL_RATE * load
            while offered > 0:
                cost = rng.choice(_NEW_COSTS)
                offered -= cost
                new += 1
                admit(cost, resumes_stream=False)
            if step % _STEPS_PER_RETURN == 0:
                admit(_LONG_COST, resumes_stream=True)
    taken_up = _RETURN_S / _STEP_S / _STEPS_PER_RETURN
    return admitted[False] / new, admitted[True] / taken_up


@pytest.mark.parametrize('load', [1.0, 2.0])
def test_streams_that_go_on_find_room_after_all_nodes_restarted(
    load: float,
) -> None:
    """Guards against streams that are refused while new ones begin.

    Operators count half as many of the former as of the latter as too few.
    """
    new, taken_up = simulate(_admitted_after_restart(load))
    assert taken_up >= new / 2


async def _admitted_beside_older_build(*, is_older: bool) -> int:
    """Return what a node admits at once, beside one other node."""
    mesh = FakeMesh(2, 1)
    loop = asyncio.get_running_loop()
    node, other = mesh.nodes.values()
    tolerance = QuotaTolerance(_TOLERANCE_FRACTION, _TOLERANCE_TOKENS)
    quotas = Quotas(node, _WINDOW_S, tolerance, clock=loop.time)
    if not is_older:
        Quotas(other, _WINDOW_S, tolerance, clock=loop.time)
    async with mesh:
        await asyncio.sleep(_WINDOW_S + 1)
        return sum(
            _LONG_COST * (not quotas.admit_or_retry_after_s(_SMALL, _LONG_COST))
            for _ in range(100)
        )


def test_the_tolerance_is_unused_beside_nodes_of_an_older_build() -> None:
    """Guards against a forecast that lacks the use of such nodes."""
    short_limit = _SMALL_RATE * _WINDOW_S * 0.375 + _SMALL_RATE / 2
    older = simulate(_admitted_beside_older_build(is_older=True))
    assert older <= short_limit
    newer = simulate(_admitted_beside_older_build(is_older=False))
    assert newer > short_limit
