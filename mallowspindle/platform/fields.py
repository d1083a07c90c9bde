"""Types of fields whose range the platform's wire format leaves open."""

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated

from pydantic import AfterValidator, Field

_MAX_PORT = 65_535
_MAX_TEXT = 255
# Whole numbers up to here are exact in JSON, and fit into messages to peers.
_MAX_WHOLE = 2**53
_MAX_COUNT = 1_000_000
# About eleven days.
_MAX_DURATION_MS = 1e9
_HEADER_TEXT = r'^[!-~]+$'


def _check_endpoint(text: str) -> str:
    host, _, port = text.rpartition(':')
    try:
        address = IPv4Address(host)
    except AddressValueError as error:
        raise ValueError(f'expected IPv4:PORT, found {text!r}') from error
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f'expected the address of a server, found {host}')
    is_number = port.isascii() and port.isdecimal()
    if not is_number or not 0 < int(port[:_MAX_TEXT]) <= _MAX_PORT:
        raise ValueError(
            f'expected a port from 1 to {_MAX_PORT}, found {port!r}'
        )
    return text


# An IPv4 address and a port of a server.
Endpoint = Annotated[
    str,
    Field(strict=True, max_length=_MAX_TEXT),
    AfterValidator(_check_endpoint),
]
Text = Annotated[str, Field(strict=True, max_length=_MAX_TEXT)]
Name = Annotated[str, Field(strict=True, min_length=1, max_length=_MAX_TEXT)]
# Text that is sent in headers and paths.
Identifier = Annotated[
    str, Field(strict=True, max_length=_MAX_TEXT, pattern=_HEADER_TEXT)
]
WholeNumber = Annotated[int, Field(strict=True, ge=0, le=_MAX_WHOLE)]
PositiveCount = Annotated[int, Field(strict=True, ge=1, le=_MAX_COUNT)]
# Milliseconds.
Duration = Annotated[
    float,
    Field(strict=True, ge=0, le=_MAX_DURATION_MS, allow_inf_nan=False),
]
