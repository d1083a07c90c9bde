"""Evidence that arrives in any order, twice or not at all."""

import random
from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from mallowspindle.quarantine.evidence import EvidenceTable
from mallowspindle.sharing.aggregation import total
from mallowspindle.sharing.messages import PartEvidence, WorkSum
from mallowspindle.tests.clock import FakeClock

_PARTS = ('a', 'b', 'c')
_NODES = 3
_RETENTION_S = 1200


class _Nodes:
    """Tables of several nodes that share one clock."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.tables = [
            EvidenceTable(self.clock, self.clock) for _ in range(_NODES)
        ]

    def exchange(self, order: Iterable[tuple[int, int]]) -> None:
        """Pass evidence from one table to another, pair by pair."""
        for source, target in order:
            evidence = self.tables[source].shared()
            self.tables[target].merge(evidence)
            self.tables[target].merge(evidence)

    def exchange_all(self) -> None:
        """Pass all evidence between all tables."""
        pairs = [
            (source, target)
            for source in range(_NODES)
            for target in range(_NODES)
        ]
        self.exchange(pairs * 3)


_STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('crash'),
            st.integers(0, _NODES - 1),
            st.sets(st.sampled_from(_PARTS), min_size=1),
        ),
        st.tuples(
            st.just('answer'),
            st.integers(0, _NODES - 1),
            st.sets(st.sampled_from(_PARTS), min_size=1),
        ),
        st.tuples(
            st.just('message'),
            st.integers(0, _NODES - 1),
            st.integers(0, _NODES - 1),
        ),
    ),
    max_size=30,
)


@given(_STEPS)
def test_only_parts_that_crashed_servers_since_their_last_answer_are_refused(
    steps: list[tuple[str, int, set[str] | int]],
) -> None:
    nodes = _Nodes()
    since_answer: dict[str, int] = dict.fromkeys(_PARTS, 0)
    for number, (action, node, found) in enumerate(steps):
        nodes.clock.advance(0.2)
        table = nodes.tables[node]
        match action, found:
            case 'crash', set(part_ids):
                table.record_crash(part_ids, f'server-{number}@1')
                for part_id in part_ids:
                    since_answer[part_id] += 1
            case 'answer', set(part_ids):
                # The node knows of all crashes before the answer.
                nodes.exchange_all()
                table.record_answer(part_ids)
                since_answer.update(dict.fromkeys(part_ids, 0))
            case _, int(target):
                nodes.exchange([(node, target)])
    nodes.exchange_all()
    for table in nodes.tables:
        assert set(table.suspects) == {
            part_id for part_id, crashes in since_answer.items() if crashes >= 3
        }


@given(_STEPS)
def test_all_nodes_agree_whatever_the_order_of_messages(
    steps: list[tuple[str, int, set[str] | int]],
) -> None:
    nodes = _Nodes()
    for number, (action, node, found) in enumerate(steps):
        nodes.clock.advance(0.2)
        match action, found:
            case 'crash', set(part_ids):
                nodes.tables[node].record_crash(part_ids, f'i-{number}@1')
            case 'answer', set(part_ids):
                nodes.tables[node].record_answer(part_ids)
            case _, int(target):
                nodes.exchange([(node, target)])
    nodes.exchange_all()
    first, *others = [dict(table.suspects) for table in nodes.tables]
    assert all(other == first for other in others)


def test_crashes_at_the_same_moment_count_once() -> None:
    clock = FakeClock()
    table = EvidenceTable(clock, clock)
    for number in range(20):
        table.record_crash(['a'], f'i-{number}@1')
    assert not table.suspects
    for number in range(2):
        clock.advance(0.2)
        table.record_crash(['a'], f'later-{number}@1')
    assert set(table.suspects) == {'a'}


def test_evidence_expires() -> None:
    clock = FakeClock()
    table = EvidenceTable(clock, clock)
    for number in range(3):
        clock.advance(0.2)
        table.record_crash(['a'], f'i-{number}@1')
    assert table.suspects
    clock.advance(_RETENTION_S)
    table.record_crash(['b'], 'other@1')
    assert not table.suspects


def test_size_of_shared_evidence_is_bounded() -> None:
    clock = FakeClock()
    table = EvidenceTable(clock, clock)
    rng = random.Random(3)
    for number in range(2000):
        clock.advance(0.01)
        parts = [f'part-{rng.randrange(500)}' for _ in range(16)]
        table.record_crash(parts, f'i-{number}@1')
    assert len(table.shared()) <= 20
    assert all(len(found.crashes) <= 12 for found in table.shared().values())


def test_sums_of_nodes_hold_the_evidence_of_all() -> None:
    works = [
        WorkSum(evidence={'a': PartEvidence({'one@1': 5}, {})}),
        WorkSum(evidence={'a': PartEvidence({'two@1': 6}, {'one@1': 5})}),
        WorkSum(evidence={'b': PartEvidence({'two@1': 6}, {})}),
    ]
    assert total(works).evidence == {
        'a': PartEvidence({'one@1': 5, 'two@1': 6}, {'one@1': 5}),
        'b': PartEvidence({'two@1': 6}, {}),
    }
