"""The speeds that a node learns from responses and from its peers."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

import pytest
from multidict import CIMultiDict

from mallowspindle.backends.service import BackendsService
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.proxy.messages import (
    CallerRequest,
    LoadReport,
    ResponseHead,
)
from mallowspindle.sharing.messages import (
    ServerReport,
    ServerTime,
    WorkSum,
)

SERVICE = 'shop'
REQUEST = CallerRequest('POST', '/', 'shop.example', 'r1', CIMultiDict())
PROMPT = CallerRequest(
    'POST', '/', 'shop.example', 'r2', CIMultiDict(), prompt_tokens=12_000
)


@dataclass
class _World:
    """The clock of a node, and what its peers have told."""

    now_s: float = 1000.0
    work: WorkSum = field(default_factory=WorkSum)

    def clock(self) -> float:
        return self.now_s


def _backends(world: _World, *, engine: bool = False) -> BackendsService:
    servers = {
        name: BackendServer(name, SERVICE, f'{name}:80', 'a', 4)
        for name in ('one', 'two')
    }
    model = SimpleNamespace(cache_tokens=0) if engine else None
    spec = SimpleNamespace(engine=model)
    catalog: Any = SimpleNamespace(
        servers=servers,
        configuration=SimpleNamespace(services={SERVICE: spec}),
    )
    sharing: Any = SimpleNamespace(
        membership=SimpleNamespace(own=SimpleNamespace(zone='a', name='n')),
        peer_work=lambda: world.work,
        send_soon=lambda: None,
    )
    return BackendsService(catalog, sharing, world.clock)


def _run(
    backends: BackendsService,
    world: _World,
    name: str,
    takes_s: float,
    load: LoadReport | None,
    request: CallerRequest = REQUEST,
) -> None:
    view = backends.find(SERVICE, name)
    assert view is not None
    with backends.track_request(view, request) as tracked:
        world.now_s += takes_s
        head = ResponseHead(200, 'r1', False, False, CIMultiDict(), load=load)
        backends.record_statements(view, head)
        backends.record_response(view, tracked)


def _chosen(backends: BackendsService, request: CallerRequest) -> set[str]:
    picks = [backends.pick(SERVICE, request, ()) for _ in range(30)]
    return {pick.view.server.server_id for pick in picks if pick}


def _at_usual_speed(backends: BackendsService, world: _World) -> None:
    """Let the node hear of both servers, and learn their time."""
    for _ in range(20):
        for name in ('one', 'two'):
            _run(backends, world, name, 0.05, LoadReport(0, 0, 1))
            backends.pick(SERVICE, REQUEST, ())


def test_slowed_server_is_avoided_for_a_while() -> None:
    world = _World()
    backends = _backends(world)
    _at_usual_speed(backends, world)
    _run(backends, world, 'one', 0.05, LoadReport(0, 0, 2.5))
    assert _chosen(backends, REQUEST) == {'two'}


def test_server_that_takes_longer_is_avoided() -> None:
    """Guards against trust in a stated figure that never changes."""
    world = _World()
    backends = _backends(world)
    _at_usual_speed(backends, world)
    for _ in range(20):
        _run(backends, world, 'one', 0.12, LoadReport(0, 0, 1))
    world.now_s += 0.3
    assert _chosen(backends, REQUEST) == {'two'}


def test_servers_that_state_no_slowdown_are_chosen_as_before() -> None:
    world = _World()
    backends = _backends(world)
    for _ in range(20):
        _run(backends, world, 'one', 0.5, LoadReport(9, 9))
        _run(backends, world, 'two', 0.05, LoadReport(0, 0))
    assert _chosen(backends, REQUEST) == {'one', 'two'}
    assert not backends._own_work().times  # noqa: SLF001


@pytest.mark.parametrize(
    ('requests', 'chosen'), [(0, {'one', 'two'}), (20, {'two'})]
)
def test_requests_that_peers_do_not_tell_of_count(
    requests: int, chosen: set[str]
) -> None:
    """Guards against a queue of nodes that this one does not hear."""
    world = _World()
    backends = _backends(world)
    _at_usual_speed(backends, world)
    _run(backends, world, 'one', 0.05, LoadReport(requests, 0, 1))
    assert _chosen(backends, REQUEST) == chosen


def test_server_that_was_full_is_used_again() -> None:
    """Guards against a queue that no later response takes back."""
    world = _World()
    backends = _backends(world)
    _at_usual_speed(backends, world)
    _run(backends, world, 'two', 0.05, LoadReport(0, 0, 2.5))
    _run(backends, world, 'one', 0.05, LoadReport(200, 0, 1))
    assert _chosen(backends, REQUEST) == {'two'}
    world.now_s += 2.1
    assert _chosen(backends, REQUEST) == {'one'}


def test_report_of_peer_is_used() -> None:
    world = _World()
    backends = _backends(world)
    _at_usual_speed(backends, world)
    world.work = WorkSum(
        nodes=1, reports={'one': ServerReport(0, 250, 0)}, ages_s=0
    )
    world.now_s += 0.3
    assert _chosen(backends, REQUEST) == {'two'}


def test_older_report_of_peer_is_ignored() -> None:
    world = _World()
    backends = _backends(world)
    _at_usual_speed(backends, world)
    world.work = WorkSum(nodes=1, reports={'one': ServerReport(0, 250, 900)})
    assert _chosen(backends, REQUEST) == {'one', 'two'}


def test_times_of_peers_are_used() -> None:
    """Guards against nodes that each know too few responses of a server."""
    world = _World()
    backends = _backends(world)
    _run(backends, world, 'one', 0.05, LoadReport(0, 0, 1))
    world.work = WorkSum(
        nodes=1,
        times={
            'one': ServerTime(30_000, 200_000),
            'two': ServerTime(10_000, 200_000),
        },
    )
    world.now_s += 0.3
    assert _chosen(backends, REQUEST) == {'two'}


def test_only_own_recent_reports_are_told_to_peers() -> None:
    """Guards against reports that seem newer each time they are passed on."""
    world = _World()
    backends = _backends(world)
    world.work = WorkSum(nodes=1, reports={'two': ServerReport(1, 100, 0)})
    _run(backends, world, 'one', 0.05, LoadReport(2, 1, 2.5))
    backends.pick(SERVICE, REQUEST, ())
    own_reports: Callable[[], dict[str, ServerReport]] = lambda: (
        backends._own_work().reports  # noqa: SLF001
    )
    assert own_reports() == {'one': ServerReport(3, 250, 0)}
    world.now_s += 2
    assert not own_reports()


def test_responses_that_may_have_waited_teach_nothing() -> None:
    world = _World()
    backends = _backends(world)
    _at_usual_speed(backends, world)
    before = backends._own_work().times['one']  # noqa: SLF001
    _run(backends, world, 'one', 0.3, LoadReport(4, 2, 1))
    after = backends._own_work().times['one']  # noqa: SLF001
    assert after.work <= before.work


def test_wait_at_all_servers_is_the_backlog() -> None:
    """Guards against requests that are admitted behind long queues."""
    world = _World()
    backends = _backends(world)
    _at_usual_speed(backends, world)
    for name in ('one', 'two'):
        _run(backends, world, name, 0.05, LoadReport(4, 19, 1))
    pick = backends.pick(SERVICE, REQUEST, ())
    assert pick is not None
    assert pick.backlog_s == pytest.approx(0.25, rel=0.1)


def test_prefill_rate_of_engine_is_learnt() -> None:
    world = _World()
    backends = _backends(world, engine=True)
    for _ in range(10):
        _run(backends, world, 'one', 0.4, LoadReport(0, 0, 1), PROMPT)
        _run(backends, world, 'two', 0.15, LoadReport(0, 0, 1), PROMPT)
        backends.pick(SERVICE, PROMPT, ())
        world.now_s += 0.3
    assert _chosen(backends, PROMPT) == {'two'}
    view = backends.find(SERVICE, 'one')
    assert view is not None
    with backends.track_request(view, PROMPT) as tracked:
        assert int(tracked.prefill_s * 1000) > 300


def test_server_that_starts_again_inherits_no_speed() -> None:
    world = _World()
    backends = _backends(world)
    _at_usual_speed(backends, world)
    _run(backends, world, 'one', 0.05, LoadReport(0, 0, 2.5))
    servers = backends._catalog.servers  # noqa: SLF001
    servers['one'] = replace(servers['one'], started_at_ms=7)
    world.now_s += 0.3
    backends.pick(SERVICE, REQUEST, ())
    own_work = backends._own_work()  # noqa: SLF001
    assert set(own_work.reports) == {'two'}
    assert set(own_work.times) == {'two'}
