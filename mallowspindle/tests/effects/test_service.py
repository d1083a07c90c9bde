"""The time by which the ages of keys are told."""

from typing import Any, cast

import pytest

from mallowspindle.effects.records import CallKey, Claim
from mallowspindle.effects.service import EffectsService
from mallowspindle.tests.effects.fakes import (
    KnownMembers,
    NodeClient,
    NodeLog,
    SteppedLoop,
    TwoServers,
    World,
    member,
)
from mallowspindle.tests.effects.test_machine import config

_LOGGED_AT_S = 5000.0


@pytest.mark.parametrize('jump_s', [-600.0, 0.0, 600.0])
def test_a_forgotten_key_does_not_seem_young_to_a_node_behind(
    jump_s: float,
) -> None:
    """Guards against a second run after the time of a VM jumped back."""
    loop = SteppedLoop()
    world = World(loop)
    info = member('n1', 1)
    service = EffectsService(
        config,
        cast(Any, NodeLog(world, 'n1')),
        cast(Any, KnownMembers(info, {'n1': info})),
        cast(Any, TwoServers()),
        cast(Any, NodeClient(world, 'n1')),
        lambda: _LOGGED_AT_S + jump_s,
    )
    (stream,) = service._streams.values()  # noqa: SLF001
    claim = Claim(CallKey('farm', 'claims', 'k'), 'c1', 'n1/1', 0)
    stream.table.fold(_LOGGED_AT_S, claim)
    assert service.time_s() == _LOGGED_AT_S + max(0, jump_s)
    loop.close()
