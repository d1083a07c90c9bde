"""Bounds of one process on the data and the connections of its clients."""

import resource
from dataclasses import dataclass
from typing import Self

from mallowspindle.config.common import IntakeSection

# The memory of the smallest VMs, for a deployment that does not state it.
_DEFAULT_MEMORY_BYTES = 160_000_000
_BYTES_PER_MB = 1_000_000
# Share of the memory for unfinished requests: 20 MB of 160 MB, of which the
# process takes 56 MB at rest.
_UNFINISHED_SHARE = 0.125
# As much again for answers that are not forwarded yet.
_ANSWERS_SHARE = 0.125
# Share of the memory for connections, and what an idle one takes.
_CONNECTIONS_SHARE = 1 / 6
_CONNECTION_BYTES = 32_768
# Shares of the descriptors. A quarter stays for servers, peers and the store.
_CALLERS_SHARE = 0.5
_ADDRESSES_SHARE = 0.125
_OTHERS_SHARE = 0.03125
_UNPROVEN_SHARE = 0.0625
_MIN_CONNECTIONS = 32


@dataclass(frozen=True, slots=True)
class IntakeBounds:
    """Bytes of requests and answers, and connections of each listener."""

    unfinished_bytes: int
    answer_bytes: int
    callers: int
    addresses: int
    others: int
    unproven_peers: int

    @classmethod
    def by_default(cls) -> Self:
        """Return the bounds of a VM of which nothing is known."""
        return cls.from_config(IntakeSection())

    @classmethod
    def from_config(cls, section: IntakeSection) -> Self:
        """Derive the bounds from the VM's memory and descriptors."""
        memory_bytes = (
            section.memory_mb * _BYTES_PER_MB
            if section.memory_mb
            else _DEFAULT_MEMORY_BYTES
        )
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = min(section.max_fds or soft_limit, soft_limit)
        callers = min(
            descriptors * _CALLERS_SHARE,
            memory_bytes * _CONNECTIONS_SHARE / _CONNECTION_BYTES,
        )
        return cls(
            section.unfinished_bytes or int(memory_bytes * _UNFINISHED_SHARE),
            section.answer_bytes or int(memory_bytes * _ANSWERS_SHARE),
            section.caller_connections or _at_least(callers),
            _at_least(descriptors * _ADDRESSES_SHARE),
            _at_least(descriptors * _OTHERS_SHARE),
            _at_least(descriptors * _UNPROVEN_SHARE),
        )


def _at_least(connections: float) -> int:
    return max(_MIN_CONNECTIONS, int(connections))
