"""The cost of choosing a server for each request.

Function calls are counted instead of time, so that the result does not depend
on the machine.
"""

import sys
from types import FrameType, SimpleNamespace
from typing import Any

import pytest
from multidict import CIMultiDict

from mallowspindle.backends.service import BackendsService
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.proxy.messages import (
    CallerRequest,
    LoadReport,
    PromptPart,
    ResponseHead,
)
from mallowspindle.sharing.messages import PrefillDemand, ServerLoad, WorkSum

# Maximum calls for each server and request: views, candidates and their costs.
_MAX_PICK_CALLS = 20
# The same where servers state their slowdowns.
_MAX_SPEED_CALLS = 35
_MAX_KEEPER_CALLS = 18
_MAX_DEMAND_CALLS = 5
_SERVERS = 100
_REQUEST = CallerRequest(
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
    """Context manager that counts the function calls in its block."""

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
        view.prefix_cache.remember(_REQUEST.prompt[:1])
    return service


def test_calls_of_pick_are_bounded_per_server(
    backends: BackendsService,
) -> None:
    with _Calls() as calls:
        backends.pick('models', _REQUEST, ())
    assert calls.count <= _MAX_PICK_CALLS * _SERVERS


def test_calls_of_pick_by_speed_are_bounded_per_server(
    backends: BackendsService,
) -> None:
    """Guards against a model that is updated in full for each request."""
    view = backends.views('models')[0]
    load = LoadReport(1, 0, 1.5)
    head = ResponseHead(200, 'r1', False, False, CIMultiDict(), load=load)
    backends.record_statements(view, head)
    backends.pick('models', _REQUEST, ())
    with _Calls() as calls:
        backends.pick('models', _REQUEST, ())
    assert calls.count <= _MAX_SPEED_CALLS * _SERVERS


def test_calls_of_pick_copy_keeper_are_bounded_per_server(
    backends: BackendsService,
) -> None:
    """A copy keeper is chosen without prefix caches and prefill times."""
    running = backends.views('models')[0]
    with _Calls() as calls:
        backends.pick_copy_keeper(running, _REQUEST)
    assert calls.count <= _MAX_KEEPER_CALLS * _SERVERS


def test_calls_of_note_demand_are_bounded_per_server(
    backends: BackendsService,
) -> None:
    with _Calls() as calls:
        backends.note_demand('models', _REQUEST)
    assert calls.count <= _MAX_DEMAND_CALLS * _SERVERS
