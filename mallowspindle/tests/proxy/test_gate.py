"""Responses to requests that are refused before any server gets them."""

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
from mallowspindle.proxy.gate import AdmissionGate
from mallowspindle.proxy.peers import PeerRelays
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.stalls import StallWatch

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
    context = SimpleNamespace(
        catalog=catalog,
        http_codec=PlatformHttpCodec(),
        peers=PeerRelays(cast(SharingService, None), b'a key'),
        stalls=StallWatch(),
    )
    headers = {
        'Host': 'shop.example',
        'Request-Id': 'r1',
        'Authorization': f'Token {key}',
    }
    request = make_mocked_request('GET', path, headers=headers)
    return await AdmissionGate(cast(ProxyContext, context)).handle(request)


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/orders/1', 'unknown', 401), ('/other/1', 'known', 404)],
)
async def test_unknown_route_or_key_is_refused(
    path: str, key: str, status: int
) -> None:
    answer = await _answer(path, key, is_current=True)
    assert answer.status == status


@pytest.mark.parametrize(
    ('path', 'key'), [('/orders/1', 'unknown'), ('/other/1', 'known')]
)
async def test_node_with_stale_configuration_asks_callers_to_retry(
    path: str, key: str
) -> None:
    """A newer configuration may have the route or the key."""
    answer = await _answer(path, key, is_current=False)
    assert answer.status == 503
    assert 0 < float(answer.headers['Retry-After']) <= 1
