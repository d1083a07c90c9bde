"""Codec for the headers of requests and responses on the platform."""

import json
import logging
import math
import time
from collections.abc import Iterable, Iterator, Mapping
from email.utils import parsedate_to_datetime

from multidict import CIMultiDict, CIMultiDictProxy

from mallowspindle.adapter import HttpCodec
from mallowspindle.proxy.errors import BadRequest, BadResponse
from mallowspindle.proxy.messages import (
    CallerRequest,
    Dispatch,
    LoadReport,
    MovedRun,
    PromptPart,
    ResponseHead,
    StatedLimit,
)
from mallowspindle.utils.statuses import FINAL_STATUSES

log = logging.getLogger(__name__)

_MS = 1000
_MISDIRECTED = 421
_UNAVAILABLE = 503
# A server that asks for a longer pause is asked again after this time.
_MAX_PAUSE_S = 3600.0
# Callers accept at most this many addresses.
_MAX_ADDRESSES = 64
# Longer numbers are out of every range; they are neither converted nor added.
_MAX_DIGITS = 12
_MAX_SHOWN_CHARS = 80
# Slowdowns that servers may state, in percent. Work that takes a tenth or a
# hundred times as long as usual is taken for an error of the statement.
_SLOWDOWN_PERCENT = range(10, 10_001)
_PERCENT = 100
_AUTH_SCHEME = 'token '

# Headers that apply to one connection and are never forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
# Request headers that only this system may set; callers' values are dropped.
# ``authorization`` holds the API key, which servers must not see.
_RESERVED_HEADERS = frozenset(
    (
        'authorization',
        'deadline-ms',
        'expect-instance',
        'expect-version',
        'hold',
        'kv-backup',
        'kv-fetch',
        'kv-from',
        'last-event-id',
        'pin-ms',
        'request-priority',
        'tenant',
    )
)
# Response headers that servers send to this system, not to callers.
_INTERNAL_RESPONSE_HEADERS = frozenset(
    ('not-executed', 'instance-id', 'server-load', 'date', 'server')
)


class PlatformHttpCodec(HttpCodec):
    """Decodes and encodes the platform's HTTP requests and responses."""

    @property
    def id_header(self) -> str:
        """Name of the header in which servers return the id of a request."""
        return 'Request-Id'

    def decode_request(
        self, method: str, target: str, headers: CIMultiDictProxy[str]
    ) -> CallerRequest:
        """Return a caller's request; raise ``BadRequest`` if malformed."""
        request_id = headers.get('Request-Id')
        host = headers.get('Host')
        if not request_id or not host:
            raise BadRequest('a request needs an id and a host')
        if '#' in target:
            # It would not reach the server.
            raise BadRequest('a request has no fragment')
        prompt_tokens, output_tokens = _decode_token_count(headers)
        return CallerRequest(
            method=method,
            target=target,
            host=host.lower(),
            request_id=request_id,
            headers=_forwarded_headers(
                headers, _HOP_BY_HOP_HEADERS | _RESERVED_HEADERS
            ),
            key=_decode_key(headers.get('Authorization')),
            patience_s=_decode_duration_s(headers, 'Deadline-Ms'),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            expected_output_tokens=_decode_int(headers, 'Length-Hint'),
            prompt=tuple(
                _decode_prompt_parts(headers.get('Prompt-Prefix', ''))
            ),
            last_event_id=headers.get('Last-Event-Id'),
            resumes=headers.get('Resumes'),
        )

    def encode_dispatch(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> CIMultiDict[str]:
        """Return the headers with which the request is sent to a server."""
        headers = request.headers.copy()
        headers['Expect-Instance'] = dispatch.server_id
        headers['Deadline-Ms'] = str(int(dispatch.time_left_s * _MS))
        optional_headers = (
            ('Tenant', dispatch.organisation),
            ('Last-Event-Id', dispatch.last_event_id),
            ('Kv-From', _encode_moved_run(dispatch.continues)),
            ('Kv-Backup', dispatch.copy_keeper),
        )
        headers.update(
            {name: text for name, text in optional_headers if text is not None}
        )
        return headers

    def encode_relay(
        self,
        request: CallerRequest,
        time_left_s: float,
        last_event_id: str | None,
    ) -> CIMultiDict[str]:
        """Return the headers with which the request is sent to a peer.

        They are those with which the caller would send it there.
        """
        headers = request.headers.copy()
        headers['Host'] = request.host
        headers['Deadline-Ms'] = str(int(time_left_s * _MS))
        if request.key is not None:
            headers['Authorization'] = f'{_AUTH_SCHEME}{request.key}'
        if last_event_id is not None:
            headers['Last-Event-Id'] = last_event_id
        return headers

    def decode_response_head(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> ResponseHead:
        """Return the decoded status and headers of a server's response.

        Raise ``BadResponse`` if its status is no final one.
        """
        if status not in FINAL_STATUSES:
            raise BadResponse(f'the server answered with status {status}')
        misdirected = status == _MISDIRECTED
        return ResponseHead(
            status=status,
            request_id=headers.get('Request-Id'),
            not_run=misdirected or 'Not-Executed' in headers,
            misdirected=misdirected,
            headers=_forwarded_headers(
                headers, _HOP_BY_HOP_HEADERS | _INTERNAL_RESPONSE_HEADERS
            ),
            load=_decode_load(headers.get('Server-Load', '')),
            limit=_decode_limit(headers),
            leaving=headers.get('Server-Leaving', '').strip() == '1',
            pause_s=_decode_pause_s(status, headers),
        )

    def decode_zone(self, query: Mapping[str, str]) -> str | None:
        """Return the zone that a query for addresses names, if any."""
        return query.get('zone')

    def encode_addresses(
        self, addresses: list[str], valid_for_s: float
    ) -> bytes:
        """Return the body of the response to a query for addresses."""
        answer = {
            'addresses': addresses[:_MAX_ADDRESSES],
            'ttl_s': valid_for_s,
        }
        return json.dumps(answer).encode()


def _encode_moved_run(run: MovedRun | None) -> str | None:
    return f'{run.source_address}/{run.handle}' if run else None


def _forwarded_headers(
    headers: Mapping[str, str], dropped: Iterable[str]
) -> CIMultiDict[str]:
    connection_options = headers.get('Connection', '').lower().split(',')
    excluded = {*dropped, *(name.strip() for name in connection_options)}
    return CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in excluded
    )


def _decode_key(authorization: str | None) -> str | None:
    if authorization is None:
        return None
    if authorization[: len(_AUTH_SCHEME)].lower() != _AUTH_SCHEME:
        return None
    return authorization[len(_AUTH_SCHEME) :].strip()


def _decode_duration_s(headers: Mapping[str, str], name: str) -> float | None:
    duration_ms = _decode_int(headers, name)
    return None if duration_ms is None else duration_ms / _MS


def _decode_int(headers: Mapping[str, str], name: str) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    number = _whole_number(text)
    if number is None:
        raise BadRequest(f'{name} is no whole number: {_shortened(text)}')
    return number


def _whole_number(text: str) -> int | None:
    """Return the number; None if it is none, negative or out of range."""
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= _MAX_DIGITS else None


def _shortened(text: str) -> str:
    return repr(text[:_MAX_SHOWN_CHARS])


def _decode_token_count(headers: Mapping[str, str]) -> tuple[int | None, int]:
    text = headers.get('Token-Count')
    if text is None:
        return None, 0
    prompt_text, separator, output_text = text.partition(',')
    prompt_tokens = _whole_number(prompt_text.strip())
    output_tokens = _whole_number(output_text.strip())
    if not separator or prompt_tokens is None or output_tokens is None:
        raise BadRequest(f'unreadable count of tokens: {_shortened(text)}')
    return prompt_tokens, output_tokens


def _decode_prompt_parts(text: str) -> Iterator[PromptPart]:
    for entry in filter(None, text.split(',')):
        part_id, _, text = entry.strip().partition(':')
        tokens = _whole_number(text)
        if tokens is None:
            raise BadRequest(
                f'unreadable part of a prompt: {_shortened(entry)}'
            )
        yield PromptPart(part_id, tokens)


def _decode_load(text: str) -> LoadReport | None:
    """Return the reported load; None if absent or malformed.

    It is running, waiting, slots and, at some services, the slowdown. Without a
    usable slowdown, the counts still hold.
    """
    numbers = [_whole_number(part.strip()) for part in text.split(',', 4)]
    running, waiting, _, percent = [*numbers, None, None, None][:4]
    if running is None or waiting is None:
        return None
    if percent is None or percent not in _SLOWDOWN_PERCENT:
        return LoadReport(running, waiting)
    return LoadReport(running, waiting, percent / _PERCENT)


def _decode_limit(headers: Mapping[str, str]) -> StatedLimit | None:
    """Return the stated limit; None if it is malformed."""
    text = headers.get('Server-Limit')
    if text is None:
        return StatedLimit(None)
    try:
        limit_per_s = float(text)
    except ValueError:
        limit_per_s = math.nan
    if math.isfinite(limit_per_s) and limit_per_s >= 0:
        return StatedLimit(limit_per_s)
    log.warning(
        'limit of a backend server ignored',
        extra={
            'expected': 'requests per second, 0 or more',
            'found': text,
            'server': headers.get('Instance-Id'),
            'request': headers.get('Request-Id'),
        },
    )
    return None


def _decode_pause_s(status: int, headers: Mapping[str, str]) -> float:
    """Return the pause that a server asks for; 0 if it is unreadable."""
    text = headers.get('Retry-After')
    if text is None or status != _UNAVAILABLE:
        return 0
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = _seconds_until(text, headers.get('Date'))
    if math.isfinite(pause_s):
        return min(_MAX_PAUSE_S, max(0, pause_s))
    log.warning(
        'pause of a backend server ignored',
        extra={
            'expected': 'seconds or an HTTP date',
            'found': text,
            'server': headers.get('Instance-Id'),
        },
    )
    return 0


def _seconds_until(http_date: str, sent_at: str | None) -> float:
    """Return the time until an HTTP date; NaN if it is none.

    It counts from the date of the response, which is of the same clock, or else
    from now.
    """
    try:
        until_s = parsedate_to_datetime(http_date).timestamp()
        if sent_at is not None:
            return until_s - parsedate_to_datetime(sent_at).timestamp()
    except (ValueError, OverflowError):
        return math.nan
    return until_s - time.time()
