"""How long requests are accepted, and may run, during a drain."""

import asyncio
from typing import cast

from mallowspindle.config.platform import ListenSection
from mallowspindle.membership.service import MembershipService
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.service import ProxyService, request_drain_time_s
from mallowspindle.tests.simulation import simulated

GRACE_S = 8.0
# Requests that callers send later must not be cut.
_ACCEPTED_FOR_S = 3.0


def test_drain_leaves_time_for_shutdown() -> None:
    """Guards against a process that outlives its grace in a restart."""
    assert GRACE_S - request_drain_time_s(GRACE_S) >= GRACE_S / 12


def test_requests_may_run_into_last_sixth_of_drain() -> None:
    assert request_drain_time_s(GRACE_S) > GRACE_S * 5 / 6


def test_drain_without_time_ends_immediately() -> None:
    assert request_drain_time_s(0) == 0


@simulated
async def test_requests_are_accepted_for_a_time_from_the_stop_signal_on() -> (
    None
):
    """Guards against requests that are taken too late to be finished.

    Announcements to other nodes may take a second of the time.
    """
    loop = asyncio.get_running_loop()
    proxy = ProxyService(
        cast(ProxyContext, None),
        cast(ListenSection, None),
        cast(MembershipService, None),
    )
    began_at_s = loop.time()
    await proxy.prepare_drain()
    await asyncio.sleep(1)
    await proxy.drain(GRACE_S - 1)
    assert loop.time() - began_at_s <= _ACCEPTED_FOR_S
