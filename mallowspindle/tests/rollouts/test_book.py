"""Where a node sends requests during a rollout."""

from dataclasses import dataclass, replace

import pytest

from mallowspindle.catalog.orders import RolloutOrder
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.policies.rollout import Decision, Phase
from mallowspindle.rollouts.book import Draw, RolloutBook
from mallowspindle.rollouts.records import (
    CanaryPlan,
    RolloutNews,
    RolloutState,
)
from mallowspindle.rollouts.states import first_state, next_state
from mallowspindle.tests.clock import FakeClock

ORDER = RolloutOrder('shop', 'v2', 12, 7)
STATE = first_state(ORDER, None, {'v1', 'v2'}, 0)
CANARY = replace(STATE, phase=Phase.CANARY)
_REQUESTS = 20_000
_SHARE = 0.09
_TOLERANCE = 0.01


@dataclass
class _View:
    server: BackendServer


def _view(name: str, version: str) -> _View:
    server = BackendServer(
        name, 'shop', f'{name}:80', 'a', 8, software_version=version
    )
    return _View(server)


OLD = _view('old', 'v1')
NEW = _view('new', 'v2')
OTHER_NEW = _view('other-new', 'v2')


class _Node:
    """A book and what it is told."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.orders: dict[str, RolloutOrder] = {}
        self.book = RolloutBook(lambda: self.orders, self.clock)

    def hear(self, state: RolloutState, share: float = 0) -> None:
        plan = CanaryPlan(share, share, ['new'])
        self.book.hear(RolloutNews(state, plan), 0)

    def used(self, *draws: Draw) -> list[list[_View]]:
        """Return the servers that are used if all work."""
        views = [OLD, NEW, OTHER_NEW]
        groups = [self.book.groups('shop', views, draw) for draw in draws]
        return [next(filter(None, found), []) for found in groups]


@pytest.fixture
def node() -> _Node:
    """A node that knows the order."""
    node = _Node()
    node.orders['shop'] = ORDER
    return node


def test_without_an_order_versions_serve_side_by_side() -> None:
    assert _Node().used(Draw('r')) == [[OLD, NEW, OTHER_NEW]]


def test_an_order_without_a_phase_holds_the_version(node: _Node) -> None:
    """Guards against a node that knows too little, also for its streams."""
    assert node.used(Draw('r'), Draw('r', version='v2')) == [[OLD], []]
    assert node.book.groups('shop', [NEW], Draw('r')) == [[]]


def test_a_canary_gets_its_share_over_all_requests(node: _Node) -> None:
    """Guards against shares that are rounded at each node."""
    node.hear(CANARY, _SHARE)
    draws = [Draw(f'request-{number}') for number in range(_REQUESTS)]
    used = node.used(*draws)
    assert abs(used.count([NEW]) / _REQUESTS - _SHARE) < _TOLERANCE
    assert used.count([OLD]) + used.count([NEW]) == _REQUESTS
    again = node.used(*(replace(draw, is_first=False) for draw in draws))
    assert again.count([OLD]) == _REQUESTS


def test_a_canary_ends_without_news(node: _Node) -> None:
    """Guards against a node that is cut off from the decisions."""
    node.hear(CANARY, 1)
    assert node.used(Draw('r'), Draw('r', version='v2')) == [[NEW], [NEW]]
    node.clock.advance(1.1)
    assert node.used(Draw('r'), Draw('r', version='v2')) == [[OLD], []]


def test_final_phases_bar_versions(node: _Node) -> None:
    """Guards against requests to a version that is stopped."""
    versions = {'v1', 'v2'}
    bad = next_state(CANARY, Decision(Phase.ROLLED_BACK, 'bad'), versions)
    switched = next_state(CANARY, Decision(Phase.SWITCH, 'good'), versions)
    good = next_state(switched, Decision(Phase.COMPLETED, 'good'), versions)
    node.hear(good)
    assert node.used(Draw('r')) == [[NEW, OTHER_NEW]]
    assert not node.book.allows(OLD.server, Draw('r', version='v1'))
    node.hear(bad)
    assert node.used(Draw('r'), Draw('r', version='v2')) == [[OLD], []]
    node.hear(CANARY, 1)
    assert node.used(Draw('r')) == [[OLD]]


def test_a_newer_order_replaces_one_under_way(node: _Node) -> None:
    """Guards against a version that stays half rolled out."""
    node.hear(CANARY, 1)
    node.orders['shop'] = RolloutOrder('shop', 'v3', 12, 9)
    assert node.book.barred('shop') == {'v2'}
    assert node.used(Draw('r')) == [[OLD]]
    third = first_state(node.orders['shop'], CANARY, {'v1', 'v2'}, 0)
    assert (third.barred, third.is_trusted) == (['v2'], False)
    back = first_state(RolloutOrder('shop', 'v1', 12, 9), CANARY, {'v2'}, 0)
    assert (back.barred, back.is_trusted) == (['v2'], True)
    node.orders['shop'] = RolloutOrder('shop', 'v1', 12, 10)
    assert node.used(Draw('r')) == [[OLD]]
    assert node.book.unjudged('shop') is None
    node.hear(replace(back, position=10))
    assert node.used(Draw('r')) == [[OLD]]
    once_more = first_state(RolloutOrder('shop', 'v2', 12, 9), CANARY, set(), 0)
    assert (once_more.barred, once_more.is_trusted) == ([], False)


def test_an_order_of_a_restored_log_is_known(node: _Node) -> None:
    """Guards against a rollout that begins again in a new era."""
    bad = next_state(CANARY, Decision(Phase.ROLLED_BACK, 'bad'), set())
    node.hear(bad)
    node.orders['shop'] = replace(ORDER, position=(1 << 40) + 7)
    assert node.book.pending('shop') is None
    assert node.used(Draw('r')) == [[OLD]]
