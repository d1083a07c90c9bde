"""Unique identifiers and rendezvous hashing."""

import secrets
import time
import uuid
from collections.abc import Iterable
from functools import partial

from xxhash import xxh3_64_intdigest

_RANDOM_BITS = 74
_UUID_VERSION = 0x7
_UUID_VARIANT = 0b10


def new_id(prefix: str) -> str:
    """Return ``prefix-`` and a UUIDv7, which sorts by creation time."""
    return f'{prefix}-{uuid7()}'


def uuid7() -> uuid.UUID:
    """Return a UUID of version 7 with the current time in milliseconds."""
    timestamp_ms = time.time_ns() // 1_000_000
    random_bits = secrets.randbits(_RANDOM_BITS)
    random_high = random_bits >> 62
    random_low = random_bits & ((1 << 62) - 1)
    upper_half = timestamp_ms << 16 | _UUID_VERSION << 12 | random_high
    lower_half = _UUID_VARIANT << 62 | random_low
    return uuid.UUID(int=upper_half << 64 | lower_half)


def uuid7_time_s(text: str) -> float | None:
    """Return the Unix time in a UUIDv7, or None if ``text`` is not one."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION:
        return None
    return (parsed.int >> 80) / 1000


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by descending rendezvous weight for ``key``."""
    return sorted(names, key=partial(rendezvous_weight, key), reverse=True)


def rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of ``name`` in the rendezvous order for ``key``."""
    return xxh3_64_intdigest(f'{key}\0{name}'.encode())


def bucket_of(key: str, buckets: int) -> int:
    """Return the index of the hash bucket of ``key``."""
    return xxh3_64_intdigest(key.encode()) % buckets
