"""Nodes that have lost their links to the servers, but not to their peers."""

import asyncio
from collections import Counter
from itertools import cycle

import pytest

from mallowspindle.tests.proxy.nodes import CutVenture, Node

_PATHS = ('/status/1', '/orders/1', '/letters/1')
# From the operators' contact time on, first attempts at nodes that are cut off
# are served two thirds as often as at the others.
_CONTACT_S = 3.0
_SERVED_FRACTION = 2 / 3
_MEASURED_S = 2.0
_INTERVAL_S = 0.05
# Links that work again are used after this time.
_REJOIN_S = 2.0


async def _send_for(
    venture: CutVenture, nodes: list[Node], duration_s: float
) -> Counter[int]:
    """Send requests of all kinds to nodes in turn; return their statuses."""
    targets = cycle((node, path) for path in _PATHS for node in nodes)
    calls = []
    for _ in range(int(duration_s / _INTERVAL_S)):
        calls.append(asyncio.create_task(venture.send(*next(targets))))
        await asyncio.sleep(_INTERVAL_S)
    return Counter(await asyncio.gather(*calls))


@pytest.mark.parametrize('silent', [True, False])
@pytest.mark.parametrize(('size', 'cut_count'), [(4, 1), (8, 6)])
async def test_callers_of_cut_off_nodes_are_served(
    size: int, cut_count: int, silent: bool
) -> None:
    """Guards against refusals by a node whose peers reach the servers."""
    async with CutVenture(size) as venture:
        cut, others = venture.nodes[:cut_count], venture.nodes[cut_count:]
        before = await _send_for(venture, venture.nodes, 1)
        assert set(before) == {200}
        venture.cut(cut, silent=silent)
        await _send_for(venture, cut, _CONTACT_S)
        at_cut, at_others = await asyncio.gather(
            _send_for(venture, cut, _MEASURED_S),
            _send_for(venture, others, _MEASURED_S),
        )
        assert at_others[200] == at_others.total()
        assert at_cut[200] >= at_cut.total() * _SERVED_FRACTION
        venture.heal(cut)
        await asyncio.sleep(_REJOIN_S)
        after = await _send_for(venture, venture.nodes, 1)
        assert set(after) == {200}
        runs = Counter(run['id'] for run in await venture.runs())
        assert max(runs.values()) == 1
