"""Servers that take no connections, and whose word on them counts."""

from types import SimpleNamespace
from typing import Any

import pytest

from mallowspindle.backends.service import BackendsService
from mallowspindle.backends.view import UNREACHABLE_S, BackendView
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.sharing.messages import WorkSum
from mallowspindle.tests.backends.crowd import Crowd, Simulation
from mallowspindle.tests.clock import FakeClock

SERVERS = ('one', 'two', 'three')


class _Node:
    """The service of one node in zone ``a``, and what its peers told it."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.told = WorkSum()
        self.hurries = 0
        servers = {
            name: BackendServer(name, 'models', f'{name}:80', 'a', 8)
            for name in SERVERS
        }
        catalog: Any = SimpleNamespace(servers=servers, configuration=None)
        sharing: Any = SimpleNamespace(
            membership=SimpleNamespace(own=SimpleNamespace(zone='a')),
            peer_work=lambda: self.told,
            send_soon=self._send_soon,
        )
        self.backends = BackendsService(catalog, sharing, self.clock)

    def view(self, name: str) -> BackendView:
        """Return the view of a server."""
        found = self.backends.find('models', name)
        assert found is not None
        return found

    def usable(self) -> set[str]:
        """Return the servers that may get work."""
        views = self.backends.usable('models', ())
        return {view.server.server_id for view in views}

    def tells(self) -> dict[str, dict[str, int]]:
        """Return the servers that this node says take no connections."""
        return self.backends._own_work().unreachable  # noqa: SLF001

    def _send_soon(self) -> None:
        self.hurries += 1


def test_a_node_tells_at_once_what_it_can_not_reach() -> None:
    node = _Node()
    node.view('two').note_success()
    for _ in range(2):
        node.backends.note_unreachable(node.view('one'))
    assert node.tells() == {'a': {'one': 1}}
    assert node.hurries == 1
    assert node.usable() == {'two', 'three'}


def test_what_a_node_found_lapses() -> None:
    node = _Node()
    node.backends.note_unreachable(node.view('one'))
    node.clock.advance(UNREACHABLE_S)
    node.view('two').note_success()
    assert not node.tells()
    assert node.usable() == set(SERVERS)


def test_a_server_that_answers_again_is_reachable() -> None:
    node = _Node()
    node.backends.note_unreachable(node.view('one'))
    node.view('one').note_success()
    assert not node.tells()
    assert node.usable() == set(SERVERS)


def test_a_node_that_is_cut_off_itself_tells_nothing() -> None:
    """Replays a node that is cut from its servers: they are well."""
    node = _Node()
    node.view('three').note_success()
    for name in ('one', 'two'):
        node.backends.note_unreachable(node.view(name))
    assert not node.tells()
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
def test_two_nodes_are_believed_unless_their_zone_is_apart(
    told: dict[str, dict[str, int]], usable: set[str]
) -> None:
    node = _Node()
    node.told = WorkSum(unreachable=told)
    assert node.usable() == usable


def test_a_node_trusts_its_own_answers_more() -> None:
    node = _Node()
    node.told = WorkSum(unreachable={'a': {'one': 2}})
    node.view('one').note_success()
    assert node.usable() == set(SERVERS)
    node.clock.advance(UNREACHABLE_S)
    assert node.usable() == {'two', 'three'}


def test_a_lost_answer_ends_the_trust() -> None:
    """Replays a crash: streams break before new connections are tried."""
    node = _Node()
    node.told = WorkSum(unreachable={'a': {'one': 2}})
    node.view('one').note_success()
    node.view('one').note_failure()
    assert node.usable() == {'two', 'three'}


def test_what_peers_tell_never_takes_the_last_server() -> None:
    node = _Node()
    node.told = WorkSum(unreachable={'a': dict.fromkeys(SERVERS, 5)})
    assert node.usable() == set(SERVERS)
    node.backends.note_unreachable(node.view('one'))
    assert node.usable() == {'two', 'three'}


def test_few_attempts_are_lost_at_dead_servers() -> None:
    """Replays servers that die at once: each node found each by itself.

    614 attempts were lost in seven seconds.
    """
    crowd = Crowd(nodes=58, servers=45, zones=5, dead=8)
    assert Simulation(crowd, seed=1).run().lost <= 300


def test_an_address_that_passed_on_names_its_last_server() -> None:
    """Replays inc1: the dead server was the target of moves until it lapsed."""
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
