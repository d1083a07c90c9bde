"""What is measured of attempts, and its sums over nodes."""

from mallowspindle.catalog.servers import BackendServer
from mallowspindle.policies.versions import Cell, time_bucket
from mallowspindle.rollouts.counting import (
    AttemptWatch,
    VersionCounts,
    cells_of,
)
from mallowspindle.sharing.aggregation import projected, subtract, total
from mallowspindle.sharing.messages import WorkSum
from mallowspindle.tests.clock import FakeClock

SERVER = BackendServer('i', 'shop', 'i:80', 'a', 8, software_version='v2')
_ORDER = 5


def _watch(
    counts: VersionCounts, clock: FakeClock, *, streams: bool
) -> AttemptWatch:
    return AttemptWatch(counts, SERVER, 'letters', streams, 0, clock)


def test_the_pace_of_a_stream_is_known_before_its_end() -> None:
    """Guards against a slow version that shows only after its streams."""
    counts, clock = VersionCounts(_ORDER), FakeClock()
    watch = _watch(counts, clock, streams=True)
    for _ in range(5):
        clock.advance(0.5)
        watch.note_chunk()
    cells = cells_of(counts.sums(), 'v2'.__eq__)
    pace = cells[Cell('a', 'letters pace')]
    assert pace[time_bucket(0.5)] == 1
    assert counts.sums().running == {'v2': 1}
    watch.end()
    assert not counts.sums().running
    assert counts.sums().longest_ms == [0, 2500]


def test_attempts_that_are_given_up_count_by_their_time() -> None:
    """Guards against a version so slow that nothing of it counts."""
    counts, clock = VersionCounts(_ORDER), FakeClock()
    watch = _watch(counts, clock, streams=False)
    watch.note_late()
    assert not counts.sums().cells
    clock.advance(2)
    watch.note_late()
    cells = cells_of(counts.sums(), 'v2'.__eq__)
    assert cells[Cell('a', 'letters')][time_bucket(2)] == 1


def test_sums_add_nodes_and_leave_out_their_own_part() -> None:
    """Guards against counts of one node that count twice or not at all."""
    works = []
    for failures in (1, 3):
        counts = VersionCounts(_ORDER)
        watch = _watch(counts, FakeClock(), streams=False)
        for _ in range(failures):
            watch.note_lost()
        works.append(WorkSum(nodes=1, rollouts={'shop': counts.sums()}))
    whole = projected(total(works), 1)
    cell = Cell('a', 'letters')
    found = cells_of(whole.rollouts['shop'], 'v2'.__eq__)
    assert found[cell] == (4,)
    assert whole.rollouts['shop'].sent == {'v2': 2}
    rest = subtract(whole, works[1]).rollouts['shop']
    assert cells_of(rest, 'v2'.__eq__)[cell] == (1,)
    older = WorkSum(rollouts={'shop': VersionCounts(_ORDER - 1).sums()})
    assert total([older, whole]).rollouts == whole.rollouts
