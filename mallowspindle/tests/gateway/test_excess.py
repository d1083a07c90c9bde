"""A gateway outlasts clients that exceed the limits."""

import asyncio
import resource
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path

import pytest
import pytest_asyncio
from aiohttp import ClientError

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.excess import (
    FORMS,
    KIB,
    MAX_BODY_BYTES,
    Form,
    crowd,
    open_descriptors,
    resident_bytes,
)

# One at a time: each of these tests keeps a core busy.
pytestmark = pytest.mark.xdist_group('excess')

# Far below what the clients of one form send in all, far above what requests
# within the limits take at one time.
_MAX_GROWTH_BYTES = 48_000_000
# Descriptors beside those of the clients: connections to servers and the store.
_OTHER_DESCRIPTORS = 48
_ORDINARY_BODY = bytes(72 * KIB)
_MAX_DESCRIPTORS = 160
_SILENT = Form('silent', 240, lambda head: iter(()))


@pytest_asyncio.fixture
async def gateway(tmp_path: Path) -> AsyncIterator[GatewayVenture]:
    """Start one gateway whose limits of time don't end the clients."""
    async with GatewayVenture(tmp_path) as venture:
        await venture.start_platform()
        await venture.configure(
            limits={
                'max_body_bytes': MAX_BODY_BYTES,
                'header_timeout_ms': 60_000,
                'idle_timeout_ms': 60_000,
            }
        )
        await venture.start_server('shop-1', 'shop')
        yield venture


@pytest.mark.parametrize('form', FORMS, ids=[form.name for form in FORMS])
async def test_clients_of_one_form(gateway: GatewayVenture, form: Form) -> None:
    """Guards against an end of the process for want of memory."""
    await gateway.start_gateway('entry-1')
    await _outlast(gateway, form)


async def test_clients_of_all_forms_at_once(gateway: GatewayVenture) -> None:
    """Guards against bounds that hold for each form alone."""
    await gateway.start_gateway('entry-1')
    await _outlast(gateway, *FORMS)


async def test_silent_connections(gateway: GatewayVenture) -> None:
    """Guards against connections that leave no descriptor for servers."""
    with _limited_descriptors(_MAX_DESCRIPTORS):
        await gateway.start_gateway('entry-1')
    await _outlast(gateway, _SILENT)


async def _outlast(venture: GatewayVenture, *forms: Form) -> None:
    process = venture.process('entry-1')
    numbers = count()
    await _send_ordinary(venture, next(numbers))
    at_rest_bytes = resident_bytes(process.pid)
    idle_descriptors = open_descriptors(process.pid)
    allowed = idle_descriptors + _OTHER_DESCRIPTORS
    endpoint = process.endpoint('callers')
    async with crowd(endpoint, _head(venture), *forms) as clients:

        async def is_answered() -> bool:
            return await _send_ordinary(venture, next(numbers))

        await venture.wait_until(is_answered)
        assert process.running
        growth = resident_bytes(process.pid, 'VmHWM') - at_rest_bytes
        assert growth < _MAX_GROWTH_BYTES
        crowd_size = sum(form.clients for form in forms)
        assert open_descriptors(process.pid) <= allowed + crowd_size
        endless = [
            client
            for form in forms
            if form.endless
            for client in clients[form.name]
        ]

        async def are_cut() -> bool:
            return all(
                await asyncio.gather(*(client.is_cut() for client in endless))
            )

        await venture.wait_until(are_cut)

    async def is_calm() -> bool:
        return open_descriptors(process.pid) <= allowed

    await venture.wait_until(is_calm)


async def _send_ordinary(venture: GatewayVenture, number: int) -> bool:
    """Return whether a request on a new connection is answered."""
    try:
        status, _, _ = await venture.call(
            'entry-1',
            'POST',
            '/orders/x',
            f'r{number}',
            _ORDINARY_BODY,
            {'Connection': 'close'},
        )
    except (ClientError, OSError):
        return False
    return status == 200


def _head(venture: GatewayVenture) -> bytes:
    """Return the start of the head of a valid request."""
    fields = ''.join(
        f'{name}: {text}\r\n'
        for name, text in venture.request_headers('excess').items()
    )
    return f'POST /orders/x HTTP/1.1\r\n{fields}'.encode()


@contextmanager
def _limited_descriptors(limit: int) -> Iterator[None]:
    """Let processes started meanwhile open few descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
