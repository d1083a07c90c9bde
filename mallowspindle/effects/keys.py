"""Finds the idempotency key of a call."""

import json
import time
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
    """Return the key, or empty where the service needs none.

    ``InvalidIdempotencyKey`` if the service requires a key that the call lacks.
    """
    source = options.idempotency_key
    if source == 'none':
        return ''
    if source.startswith(_BODY_PREFIX):
        key = _field_of(body, source.removeprefix(_BODY_PREFIX))
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


def idempotency_key_age_s(key: str, headers: Mapping[str, str]) -> float:
    """Return the age that the key or its ``Date`` tells, 0 for none."""
    made_at_s = uuid7_time_s(key)
    if made_at_s is None:
        made_at_s = _date_s(headers.get('Date', ''))
    return 0 if made_at_s is None else time.time() - made_at_s


def _date_s(text: str) -> float | None:
    try:
        return parsedate_to_datetime(text).timestamp()
    except (TypeError, ValueError):
        return None


def _field_of(body: bytes, path: str) -> str:
    try:
        found: Any = json.loads(body)
    except ValueError as error:
        raise InvalidIdempotencyKey('the body is not JSON') from error
    for name in path.split('.'):
        found = found.get(name) if isinstance(found, dict) else None
    return str(found) if isinstance(found, (str, int)) else ''
