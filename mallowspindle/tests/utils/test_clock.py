"""The time of day that nodes agree on while the clocks of their VMs jump."""

import random
import re
from dataclasses import dataclass, field
from pathlib import Path

import pytest

import mallowspindle
from mallowspindle.usage import UsageCounter
from mallowspindle.utils.clock import SharedClock

# Packages that no entry VM runs.
_NOT_IN_DAEMONS = frozenset(('bench', 'lab', 'standins', 'tests'))
_READS_TIME = re.compile(r'time\.time\b|time_ns\(|datetime\.now')
_HARMLESS = {
    'ledger/pricing.py': 'labels of ledger entries, which nothing compares',
    'platform/codec.py': 'a pause until a date of a server that states none',
    'settings/publisher.py': 'labels of changes, on the VM of an operator',
    'utils/clock.py': 'the clock itself',
    'utils/identifiers.py': 'ids that are unique by their random bits',
}
_WINDOW_S = 5.0
# What operators tolerate of a usage window, as a part of its requests.
_TOLERANCE = 0.02
_MAX_ERROR_S = 0.1
_TRUE_TIME_S = 1_790_000_000.0
# A node hears so many others in its first heartbeats.
_HEARD = 8


@dataclass
class _Machine:
    """A VM whose time of day is some ms wrong and may jump."""

    world: '_World'
    error_s: float
    jump_s: float = 0.0
    clock: SharedClock = field(init=False)
    usage: UsageCounter = field(init=False)

    def start(self) -> None:
        """Start a process there."""
        self.clock = SharedClock(self.wall_s, lambda: self.world.steady_s)
        self.usage = UsageCounter(_WINDOW_S, self.clock.now_s)

    def wall_s(self) -> float:
        """Return the VM's time of day."""
        return self.world.true_time_s + self.error_s + self.jump_s


class _World:
    """The VMs of a venture, with one steady time."""

    def __init__(self, size: int) -> None:
        self.steady_s = 0.0
        self.random = random.Random(size)
        self.machines = [
            _Machine(self, self.random.uniform(-0.02, 0.02))
            for _ in range(size)
        ]
        self.start_all()

    @property
    def true_time_s(self) -> float:
        """The true time of day."""
        return _TRUE_TIME_S + self.steady_s

    def start_all(self) -> None:
        """Start all nodes; each hears the others."""
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            self.hear(machine)

    def hear(self, machine: _Machine) -> None:
        """Let a node hear some others."""
        others = [other for other in self.machines if other is not machine]
        heard = self.random.sample(others, min(_HEARD, len(others)))
        for number, other in enumerate(heard):
            machine.clock.note_peer(
                str(number), other.clock.now_s(), other.clock.age_s
            )

    def jump(self, share: float, by_s: float) -> list[_Machine]:
        """Let the time of day jump at a share of the VMs."""
        count = round(share * len(self.machines))
        chosen = self.random.sample(self.machines, count)
        for machine in chosen:
            machine.jump_s += by_s
        return chosen

    def serve(self, seconds: float) -> None:
        """Let each node count ten requests a second."""
        for _ in range(round(seconds * 10)):
            self.steady_s += 0.1
            for machine in self.machines:
                machine.usage.count_request('farm')

    def windows(self) -> dict[int, int]:
        """Return the requests counted in each window by all nodes."""
        total: dict[int, int] = {}
        for machine in self.machines:
            for window, counts in machine.usage.windows().items():
                total[window] = total.get(window, 0) + counts['farm']
        return total

    def assert_windows_are_right(self) -> None:
        """Check the windows that are complete."""
        expected = _WINDOW_S * 10 * len(self.machines)
        complete = sorted(self.windows().items())[1:-1]
        assert complete
        for _, counted in complete:
            assert abs(counted - expected) <= _TOLERANCE * expected


_jumps = pytest.mark.parametrize('by_s', [-60, -2, -0.5, 0.5, 2, 60])
_sizes = pytest.mark.parametrize('size', [8, 58, 77])
_shares = pytest.mark.parametrize('share', [0.1, 0.5, 1.0])


@_jumps
@_sizes
@_shares
def test_windows_are_right_while_time_jumps_and_returns(
    size: int, share: float, by_s: float
) -> None:
    """Guards against usage that is counted by the time of day of a VM."""
    world = _World(size)
    world.serve(11)
    chosen = world.jump(share, by_s)
    world.serve(7)
    for machine in chosen:
        machine.jump_s = 0
    world.serve(6)
    world.assert_windows_are_right()


@_jumps
@_sizes
@_shares
def test_nodes_that_start_during_a_jump_take_over_the_time_of_others(
    size: int, share: float, by_s: float
) -> None:
    world = _World(size)
    world.serve(12)
    chosen = world.jump(share, by_s)
    world.serve(1)
    for machine in chosen[: max(1, len(chosen) // 3)]:
        machine.start()
        world.hear(machine)
    world.serve(1)
    for machine in world.machines:
        assert abs(machine.clock.now_s() - world.true_time_s) <= _MAX_ERROR_S


@_jumps
@_sizes
def test_nodes_that_all_start_during_a_jump_take_the_time_of_most(
    size: int, by_s: float
) -> None:
    world = _World(size)
    world.jump(0.1, by_s)
    world.start_all()
    for machine in world.machines:
        assert abs(machine.clock.now_s() - world.true_time_s) <= _MAX_ERROR_S


def test_the_time_of_day_is_read_where_a_jump_does_no_harm() -> None:
    """Guards against deadlines and ages that jump with the clock of a VM."""
    root = Path(mallowspindle.__file__).parent
    reading = {
        str(path.relative_to(root))
        for path in root.rglob('*.py')
        if path.relative_to(root).parts[0] not in _NOT_IN_DAEMONS
        and _READS_TIME.search(path.read_text(encoding='utf-8'))
    }
    assert reading == _HARMLESS.keys()


@_jumps
def test_one_peer_of_the_same_age_decides_nothing(by_s: float) -> None:
    """Guards against a tie that always goes to the time that is behind."""
    world = _World(3)
    machine = world.machines[0]
    machine.jump_s = by_s
    machine.start()
    for number, peer in enumerate(world.machines[1:], start=1):
        machine.clock.note_peer(
            str(number), peer.clock.now_s(), peer.clock.age_s
        )
        error_s = machine.clock.now_s() - world.true_time_s
        expected_s = by_s if number == 1 else 0
        assert abs(error_s - expected_s) <= _MAX_ERROR_S


def test_small_corrections_are_followed() -> None:
    world = _World(2)
    machine = world.machines[0]
    for _ in range(100):
        machine.error_s += 0.05
        machine.clock.now_s()
    assert machine.clock.now_s() == pytest.approx(machine.wall_s())


def test_peers_are_not_followed_for_ever() -> None:
    world = _World(2)
    world.serve(11)
    machine = world.machines[0]
    machine.clock.note_peer('other', world.true_time_s + 100, 1000)
    assert abs(machine.clock.now_s() - world.true_time_s) <= _MAX_ERROR_S


def test_jumps_are_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level('WARNING')
    world = _World(1)
    world.jump(1, 5)
    world.serve(2)
    assert world.machines[0].clock.jump_s == pytest.approx(5)
    world.machines[0].jump_s = 0
    world.serve(2)
    assert [record.getMessage() for record in caplog.records] == [
        'time of day of this VM has jumped',
        'time of day of this VM is right again',
    ]
