"""Servers that accept no connections, and which reports of them count."""

from types import SimpleNamespace
from typing import Any

import pytest

from mallowspindle.backends.service import BackendsService
from mallowspindle.backends.view import UNREACHABLE_S, BackendView
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.sharing.messages import WorkSum
from mallowspindle.tests.backends.crowd import Deployment, Simulation
from mallowspindle.tests.clock import FakeClock

SERVERS = ('one', 'two', 'three')


class _Node:
    """The service of one node in zone ``a``, and the reports of its peers."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.peer_reports = WorkSum()
        self.send_soon_calls = 0
        servers = {
            name: BackendServer(name, 'models', f'{name}:80', 'a', 8)
            for name in SERVERS
        }
        catalog: Any = SimpleNamespace(servers=servers, configuration=None)
        sharing: Any = SimpleNamespace(
            membership=SimpleNamespace(own=SimpleNamespace(zone='a')),
            peer_work=lambda: self.peer_reports,
            send_soon=self._send_soon,
        )
        self.backends = BackendsService(catalog, sharing, self.clock)

    def view(self, name: str) -> BackendView:
        """Return the view of a server."""
        found = self.backends.find('models', name)
        assert found is not None
        return found

    def usable(self) -> set[str]:
        """Return the servers that may get new work."""
        views = self.backends.usable('models', ())
        return {view.server.server_id for view in views}

    def reported_unreachable(self) -> dict[str, dict[str, int]]:
        """Return the servers that this node reports as unreachable."""
        return self.backends._own_work().unreachable  # noqa: SLF001

    def _send_soon(self) -> None:
        self.send_soon_calls += 1


def test_unreachable_server_is_reported_at_once() -> None:
    node = _Node()
    node.view('two').record_success()
    for _ in range(2):
        node.backends.record_unreachable(node.view('one'))
    assert node.reported_unreachable() == {'a': {'one': 1}}
    assert node.send_soon_calls == 1
    assert node.usable() == {'two', 'three'}


def test_unreachable_mark_expires() -> None:
    node = _Node()
    node.backends.record_unreachable(node.view('one'))
    node.clock.advance(UNREACHABLE_S)
    node.view('two').record_success()
    assert not node.reported_unreachable()
    assert node.usable() == set(SERVERS)


def test_server_that_answers_again_is_reachable() -> None:
    node = _Node()
    node.backends.record_unreachable(node.view('one'))
    node.view('one').record_success()
    assert not node.reported_unreachable()
    assert node.usable() == set(SERVERS)


def test_disconnected_node_reports_nothing() -> None:
    """Guards against a disconnected node reporting healthy servers."""
    node = _Node()
    node.view('three').record_success()
    for name in ('one', 'two'):
        node.backends.record_unreachable(node.view(name))
    assert not node.reported_unreachable()
    assert node.usable() == {'three'}


@pytest.mark.parametrize(
    ('told', 'usable'),
    [
        ({'a': {'one': 1}}, set(SERVERS)),
        ({'a': {'one': 2}}, {'two', 'three'}),
        ({'b': {'one': 1}}, set(SERVERS)),
        ({'b': {'one': 9}}, set(SERVERS)),
        ({'a': {'one': 1}, 'b': {'one': 1}}, {'two', 'three'}),
        ({'b': {'one': 1}, 'c': {'one': 1}}, {'two', 'three'}),
        ({'a': {'one': 1}, 'b': {'two': 1}}, set(SERVERS)),
    ],
)
def test_two_reports_count_unless_both_from_one_other_zone(
    told: dict[str, dict[str, int]], usable: set[str]
) -> None:
    node = _Node()
    node.peer_reports = WorkSum(unreachable=told)
    assert node.usable() == usable


def test_own_answers_outweigh_reports_of_peers() -> None:
    node = _Node()
    node.peer_reports = WorkSum(unreachable={'a': {'one': 2}})
    node.view('one').record_success()
    assert node.usable() == set(SERVERS)
    node.clock.advance(UNREACHABLE_S)
    assert node.usable() == {'two', 'three'}


def test_failure_ends_trust_in_own_answers() -> None:
    """Guards against trusting old answers of a crashed server.

    Its streams break before new connections are tried.
    """
    node = _Node()
    node.peer_reports = WorkSum(unreachable={'a': {'one': 2}})
    node.view('one').record_success()
    node.view('one').record_failure()
    assert node.usable() == {'two', 'three'}


def test_reports_of_peers_never_exclude_all_servers() -> None:
    node = _Node()
    node.peer_reports = WorkSum(unreachable={'a': dict.fromkeys(SERVERS, 5)})
    assert node.usable() == set(SERVERS)
    node.backends.record_unreachable(node.view('one'))
    assert node.usable() == {'two', 'three'}


def test_few_attempts_are_lost_at_dead_servers() -> None:
    """Guards against each node finding out by itself which servers are dead.

    When several servers died at once, 614 attempts were lost in seven seconds.
    """
    deployment = Deployment(nodes=58, servers=45, zones=5, dead_servers=8)
    assert Simulation(deployment, seed=1).run().lost_attempts <= 300


def test_newest_server_at_reused_address_is_used() -> None:
    """Guards against moving runs to a dead server at a reused address (inc1).

    The dead server was a target of moves until its catalog entry expired.
    """
    servers = {
        name: BackendServer(
            name, 'models', '10.0.0.1:80', 'a', 8, started_at_ms=started_at_ms
        )
        for name, started_at_ms in (('new', 2), ('dead', 1))
    }
    catalog: Any = SimpleNamespace(servers=servers, configuration=None)
    sharing: Any = SimpleNamespace(
        membership=SimpleNamespace(own=SimpleNamespace(zone='a')),
        peer_work=WorkSum,
    )
    usable = BackendsService(catalog, sharing).usable('models', ())
    assert [view.server.server_id for view in usable] == ['new']
