"""What callers are answered before their request is exchanged."""

from types import SimpleNamespace
from typing import cast

import pytest
from aiohttp.test_utils import make_mocked_request
from aiohttp.web import StreamResponse

from mallowspindle.catalog.configuration import (
    Configuration,
    Organisation,
    Route,
    RouteKind,
    TrafficShare,
)
from mallowspindle.platform.codec import PlatformHttpCodec
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.gate import Gate

ROUTE = Route(
    'orders',
    'shop.example',
    '/orders/',
    RouteKind.SAFE,
    (TrafficShare('shop', 1),),
    timeout_s=2,
    objective_s=1,
)
CONFIGURATION = Configuration(
    3, (ROUTE,), organisations=(Organisation('farm', frozenset(('known',))),)
)


async def _answer(path: str, key: str, *, is_current: bool) -> StreamResponse:
    catalog = SimpleNamespace(
        configuration=CONFIGURATION, is_current=is_current
    )
    context = SimpleNamespace(catalog=catalog, http_codec=PlatformHttpCodec())
    headers = {
        'Host': 'shop.example',
        'Request-Id': 'r1',
        'Authorization': f'Token {key}',
    }
    request = make_mocked_request('GET', path, headers=headers)
    return await Gate(cast(ProxyContext, context)).handle(request)


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/orders/1', 'unknown', 401), ('/other/1', 'known', 404)],
)
async def test_what_the_configuration_in_force_lacks_is_refused(
    path: str, key: str, status: int
) -> None:
    answer = await _answer(path, key, is_current=True)
    assert answer.status == status


@pytest.mark.parametrize(
    ('path', 'key'), [('/orders/1', 'unknown'), ('/other/1', 'known')]
)
async def test_a_node_that_may_be_behind_lets_callers_come_again(
    path: str, key: str
) -> None:
    """A newer version may have the route or the key."""
    answer = await _answer(path, key, is_current=False)
    assert answer.status == 503
    assert 0 < float(answer.headers['Retry-After']) <= 1
