"""What choosing servers costs a node for each request.

Function calls are counted, not time, so that the test's machine does not
matter.
"""

import sys
from types import FrameType, SimpleNamespace
from typing import Any

import pytest
from multidict import CIMultiDict

from mallowspindle.backends.service import BackendsService
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.proxy.messages import CallerRequest, PromptPart
from mallowspindle.sharing.messages import PrefillDemand, ServerLoad, WorkSum

# Calls for each server and request: views, candidates and their costs.
_MOST_PICK = 20
_MOST_KEEPER = 18
_MOST_DEMAND = 5
_SERVERS = 100
_LETTER = CallerRequest(
    'POST',
    '/',
    'shop.example',
    'r1',
    CIMultiDict(),
    prompt_tokens=12_000,
    prompt=(
        PromptPart('shop', 500),
        PromptPart('letter', 5000),
        PromptPart('own', 6500),
    ),
)


class _Calls:
    """Counts the function calls within its block."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> '_Calls':
        sys.setprofile(self._note)
        return self

    def __exit__(self, *error: object) -> None:
        sys.setprofile(None)

    def _note(self, frame: FrameType, event: str, detail: object) -> None:
        self.count += event in {'call', 'c_call'}


@pytest.fixture
def backends() -> BackendsService:
    """The service of a node that has sent some requests."""
    servers = {
        f'i-{number:03}': BackendServer(
            f'i-{number:03}', 'models', f'i-{number}:80', 'a', 16
        )
        for number in range(_SERVERS)
    }
    engine = SimpleNamespace(cache_tokens=400_000, supports_kv_backup=True)
    spec = SimpleNamespace(engine=engine)
    catalog: Any = SimpleNamespace(
        servers=servers,
        configuration=SimpleNamespace(services={'models': spec}),
    )
    work = WorkSum(
        nodes=57,
        loads=dict.fromkeys(servers, ServerLoad(3, 100)),
        demands={'models': PrefillDemand(20_000)},
        ages_s=28,
    )
    sharing: Any = SimpleNamespace(
        membership=SimpleNamespace(own=SimpleNamespace(zone='a')),
        peer_work=lambda: work,
    )
    service = BackendsService(catalog, sharing)
    for view in service.views('models'):
        view.memory.remember(_LETTER.prompt[:1])
    return service


def test_a_pick_costs_little_for_each_server(
    backends: BackendsService,
) -> None:
    with _Calls() as calls:
        backends.pick('models', _LETTER, ())
    assert calls.count <= _MOST_PICK * _SERVERS


def test_a_copy_keeper_costs_less_than_a_pick(
    backends: BackendsService,
) -> None:
    """A copy keeper's memory of prompts and its reading do not matter."""
    running = backends.views('models')[0]
    with _Calls() as calls:
        backends.pick_copy_keeper(running, _LETTER)
    assert calls.count <= _MOST_KEEPER * _SERVERS


def test_noting_demand_costs_little_for_each_server(
    backends: BackendsService,
) -> None:
    with _Calls() as calls:
        backends.note_demand('models', _LETTER)
    assert calls.count <= _MOST_DEMAND * _SERVERS
