"""Extraction of idempotency keys."""

import time

import pytest

from mallowspindle.effects.errors import InvalidIdempotencyKey
from mallowspindle.effects.keys import (
    find_idempotency_key,
    idempotency_key_age_s,
)
from mallowspindle.settings.document import ServiceSection
from mallowspindle.utils.identifiers import uuid7

HEADER = ServiceSection.model_validate({'idempotency_key': 'header'})
BODY = ServiceSection.model_validate({'idempotency_key': 'body:claim.number'})
OPTIONAL = ServiceSection.model_validate(
    {'idempotency_key': 'header', 'key_required': 'false'}
)
NO_KEY = ServiceSection.model_validate({'idempotency_key': 'none'})


@pytest.mark.parametrize(
    ('options', 'headers', 'body', 'key'),
    [
        (HEADER, {'Idempotency-Key': '"k-1"'}, b'', 'k-1'),
        (BODY, {}, b'{"claim": {"number": 7}}', '7'),
        (OPTIONAL, {}, b'', ''),
        (NO_KEY, {'Idempotency-Key': 'k'}, b'', ''),
    ],
)
def test_key_is_found(
    options: ServiceSection, headers: dict[str, str], body: bytes, key: str
) -> None:
    assert find_idempotency_key(options, headers, body) == key


@pytest.mark.parametrize(
    ('options', 'headers', 'body'),
    [
        (HEADER, {}, b''),
        (HEADER, {'Idempotency-Key': 'x' * 201}, b''),
        (BODY, {}, b'{"claim": {}}'),
        (BODY, {}, b'{"claim": [1]}'),
        (BODY, {}, b'not json'),
    ],
)
def test_missing_or_invalid_key_is_an_error(
    options: ServiceSection, headers: dict[str, str], body: bytes
) -> None:
    with pytest.raises(InvalidIdempotencyKey):
        find_idempotency_key(options, headers, body)


def test_key_age() -> None:
    now_s = time.time()
    assert idempotency_key_age_s(str(uuid7()), {}, now_s) < 5
    assert idempotency_key_age_s('k', {}, now_s) == 0
    assert idempotency_key_age_s('k', {'Date': 'garbage'}, now_s) == 0
    old = 'Wed, 01 Jan 2020 00:00:00 GMT'
    assert (
        idempotency_key_age_s('k', {'Date': old}, now_s) > now_s - 1_600_000_000
    )
