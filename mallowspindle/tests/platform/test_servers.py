"""Entries of servers as another writer may leave them."""

import json
from typing import Any

import pytest

from mallowspindle.platform.errors import DecodeError
from mallowspindle.platform.servers import decode_server

_ENTRY = {
    'service': 'models',
    'address': '10.1.64.25:8208',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
    'version': 'v1',
    'cold_remaining_ms': 1500,
    'born': 1796450000000,
    'models': [{'name': 'm', 'version': 3}],
}
_HUGE = '9' * 5000
_DEPTH = 100_000
_LONE_SURROGATE = 0xD800
_DEEP = b'[' * _DEPTH
_DEEP_LIST = b''.join((_DEEP, b']' * _DEPTH))


def _entry(**changes: Any) -> bytes:
    return json.dumps({**_ENTRY, **changes}).encode()


def test_an_entry_is_decoded() -> None:
    server = decode_server('i-1', _entry())
    assert server.address == '10.1.64.25:8208'
    assert server.started_at_ms == 1796450000000
    assert server.cold_remaining_s == pytest.approx(1.5)
    assert (server.software_version, server.model_version) == ('v1', 3)


@pytest.mark.parametrize(
    'address',
    [
        '10.1.64.25:99999',
        '10.1.64.25:65536',
        '10.1.64.25:0',
        '10.1.64.25:-1',
        '10.1.64.25:',
        f'10.1.64.25:{_HUGE}',
        '10.1.64.25:\u0668\u0669',
        '...:8208',
        '10.1.64:8208',
        '10.1.64.256:8208',
        '0.0.0.0:8208',
        '224.0.0.1:8208',
        ':8208',
        'server.example:8208',
        '10.1.64.25:8208\n',
        ' 10.1.64.25:8208',
        8208,
    ],
)
def test_an_entry_without_a_usable_address_names_no_server(
    address: object,
) -> None:
    """Guards against requests that fail since no URL can be made."""
    with pytest.raises(DecodeError):
        decode_server('i-1', _entry(address=address))


@pytest.mark.parametrize(
    'changes',
    [
        {'slots': 10**30},
        {'slots': 0},
        {'slots': True},
        {'born': 10**30},
        {'born': -1},
        {'born': 2**63},
        {'cold_remaining_ms': 10**400},
        {'cold_remaining_ms': float('inf')},
        {'cold_remaining_ms': float('nan')},
        {'cold_remaining_ms': -5},
        {'models': [{'version': 10**30}]},
        {'zone': 'a' * 10_000},
        {'service': 'a' * 10_000},
        {'version': 'a' * 10_000},
        {'service': ''},
        {'state': ['ready']},
        {'spot': 'yes'},
        {'born': '5'},
    ],
)
def test_an_entry_with_numbers_out_of_range_names_no_server(
    changes: dict[str, Any],
) -> None:
    """Guards against numbers that fit into no message to a peer."""
    with pytest.raises(DecodeError):
        decode_server('i-1', _entry(**changes))


@pytest.mark.parametrize(
    'content',
    [
        _DEEP,
        b'{"a":' * _DEPTH,
        b'{"service": %b}' % _DEEP_LIST,
        f'{{"slots": {_HUGE}}}'.encode(),
        b'%b, "extra": %b}' % (_entry()[:-1], _DEEP_LIST),
        b'\xff\xfe',
        b'null',
        b'3',
        json.dumps({'service': chr(_LONE_SURROGATE)}).encode(),
    ],
)
def test_an_entry_that_cannot_be_read_names_no_server(content: bytes) -> None:
    """Guards against errors of a kind that the reader does not expect."""
    with pytest.raises(DecodeError):
        decode_server('i-1', content)


@pytest.mark.parametrize(
    'server_id', ['', 'i 1', 'i-1\r\nTenant: farm', 'i-\u00fc', 'i' * 256]
)
def test_an_id_that_fits_into_no_header_names_no_server(server_id: str) -> None:
    with pytest.raises(DecodeError):
        decode_server(server_id, _entry())
