"""Idempotency keys of calls and their age."""

import json
from collections.abc import Mapping
from email.utils import parsedate_to_datetime
from typing import Any

from mallowspindle.effects.errors import InvalidIdempotencyKey
from mallowspindle.settings.document import ServiceSection
from mallowspindle.utils.identifiers import uuid7_time_s

_BODY_PREFIX = 'body:'
_MAX_KEY_CHARS = 200


def find_idempotency_key(
    options: ServiceSection, headers: Mapping[str, str], body: bytes
) -> str:
    """Return the idempotency key, or an empty string if there is none.

    Raises ``InvalidIdempotencyKey`` if the key is too long, a required key is
    missing, or the body that should contain the key is not JSON.
    """
    source = options.idempotency_key
    if source == 'none':
        return ''
    if source.startswith(_BODY_PREFIX):
        key = _extract_body_field(body, source.removeprefix(_BODY_PREFIX))
    else:
        key = headers.get('Idempotency-Key', '').strip().strip('"')
    if len(key) > _MAX_KEY_CHARS:
        raise InvalidIdempotencyKey(
            f'the key is longer than {_MAX_KEY_CHARS} characters'
        )
    if not key and options.key_required:
        raise InvalidIdempotencyKey(
            f'the service requires an idempotency key: {source}'
        )
    return key


def idempotency_key_age_s(
    key: str, headers: Mapping[str, str], now_s: float
) -> float:
    """Return the age of a key at ``now_s``, or 0 if it is not known.

    The time of creation is that of a UUIDv7 key, or else the ``Date`` header.
    """
    created_at_s = uuid7_time_s(key)
    if created_at_s is None:
        created_at_s = _parse_date_s(headers.get('Date', ''))
    return 0 if created_at_s is None else now_s - created_at_s


def _parse_date_s(text: str) -> float | None:
    try:
        return parsedate_to_datetime(text).timestamp()
    except (TypeError, ValueError):
        return None


def _extract_body_field(body: bytes, path: str) -> str:
    try:
        found: Any = json.loads(body)
    except ValueError as error:
        raise InvalidIdempotencyKey('the body is not JSON') from error
    for name in path.split('.'):
        found = found.get(name) if isinstance(found, dict) else None
    return str(found) if isinstance(found, (str, int)) else ''
