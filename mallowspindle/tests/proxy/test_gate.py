"""Responses to requests that are refused before any server gets them."""

from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import pytest
from aiohttp.test_utils import make_mocked_request
from aiohttp.web import StreamResponse

from mallowspindle.catalog.configuration import (
    CallerLimits,
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


class _Catalog:
    """A catalog that is up to date, or gets there if ``newer`` is read."""

    def __init__(
        self,
        *,
        is_current: bool,
        newer: Configuration | None = None,
        is_cut_off: bool = False,
    ) -> None:
        self.configuration = CONFIGURATION
        self.is_current = is_current
        self.is_cut_off = is_cut_off
        self._newer = newer

    async def confirm_configuration(self, timeout_s: float) -> bool:
        if self._newer is None:
            return False
        self.configuration = self._newer
        self.is_current = True
        return True

    async def regain_contact(self) -> bool:
        return await self.confirm_configuration(0)


async def _answer(path: str, key: str, catalog: _Catalog) -> StreamResponse:
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
        'Content-Length': '1',
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
    answer = await _answer(path, key, _Catalog(is_current=True))
    assert answer.status == status


@pytest.mark.parametrize(
    ('path', 'key'), [('/orders/1', 'unknown'), ('/other/1', 'known')]
)
async def test_node_with_stale_configuration_asks_callers_to_retry(
    path: str, key: str
) -> None:
    """A newer configuration may have the route or the key."""
    answer = await _answer(path, key, _Catalog(is_current=False))
    assert answer.status == 503
    assert 0 < float(answer.headers['Retry-After']) <= 1


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/orders/1', 'unknown', 401), ('/other/1', 'known', 404)],
)
async def test_node_that_was_behind_denies_by_what_it_has_read_since(
    path: str, key: str, status: int
) -> None:
    newer = replace(CONFIGURATION, version=4)
    catalog = _Catalog(is_current=False, newer=newer)
    assert (await _answer(path, key, catalog)).status == status


async def test_node_that_was_behind_admits_by_what_it_has_read_since() -> None:
    """Guards against a refusal of a key or route that a read would show."""
    organisations = (Organisation('farm', frozenset(('known', 'new'))),)
    routes = (ROUTE, replace(ROUTE, name='other', path_prefix='/other/'))
    newer = replace(
        CONFIGURATION, version=4, routes=routes, organisations=organisations
    )
    limits = CallerLimits(body_bytes=-1)
    catalog = _Catalog(is_current=False, newer=replace(newer, limits=limits))
    # The body is read after the route and the key have been found.
    assert (await _answer('/other/1', 'new', catalog)).status == 413


async def test_node_that_is_cut_off_refuses_what_its_configuration_allows() -> (
    None
):
    """Guards against responses by a configuration that was replaced."""
    catalog = _Catalog(is_current=False, is_cut_off=True)
    answer = await _answer('/orders/1', 'known', catalog)
    assert answer.status == 503
    assert 0 < float(answer.headers['Retry-After']) <= 1


async def test_node_that_regains_contact_goes_by_what_it_has_read() -> None:
    """Guards against a request that is matched before the newer version."""
    newer = replace(CONFIGURATION, version=4, routes=())
    catalog = _Catalog(is_current=False, newer=newer, is_cut_off=True)
    assert (await _answer('/orders/1', 'known', catalog)).status == 404
