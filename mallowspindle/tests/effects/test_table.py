"""The fold of effects records, case by case."""

import pytest

from mallowspindle.effects.records import (
    CallKey,
    CallOutcome,
    Claim,
    EffectsRecord,
    Release,
    Resolution,
)
from mallowspindle.effects.table import KeyTable

KEY = CallKey('o', 's', 'k')
WINDOW_S = 100.0


def claim(name: str, *, carried: bool = False) -> Claim:
    return Claim(KEY, name, 'node', 0, carried)


def done(name: str) -> CallOutcome:
    return CallOutcome(KEY, name, 200)


def unknown(name: str) -> CallOutcome:
    return CallOutcome(KEY, name, unknown='lost')


RESOLVED = Resolution(KEY, 'a', ran=True, evidence='e', author='x', at_s=0)

# Records with their times in the log, the claim that wins, and whether the
# call is unresolved in the end.
CASES: dict[str, tuple[list[tuple[float, EffectsRecord]], str, bool]] = {
    'first claim wins': ([(0, claim('a')), (0, claim('b'))], 'a', True),
    'repeated claim counts once': (
        [(0, claim('a')), (1, claim('a'))],
        'a',
        True,
    ),
    'next claim after a release wins': (
        [
            (0, claim('a')),
            (0, claim('b')),
            (1, Release(KEY, 'a')),
            (2, claim('c')),
        ],
        'c',
        True,
    ),
    'loser before the release does not': (
        [(0, claim('a')), (0, claim('b')), (1, Release(KEY, 'a'))],
        '',
        False,
    ),
    'released claim that lands late never counts': (
        [(0, Release(KEY, 'a')), (1, claim('a')), (2, claim('b'))],
        'b',
        True,
    ),
    'release after the outcome changes nothing': (
        [
            (0, claim('a')),
            (1, done('a')),
            (2, Release(KEY, 'a')),
            (3, claim('b')),
        ],
        'a',
        False,
    ),
    'outcome of a loser is ignored': (
        [(0, claim('a')), (1, done('b'))],
        'a',
        True,
    ),
    'first outcome stays': (
        [(0, claim('a')), (1, unknown('a')), (2, done('a'))],
        'a',
        True,
    ),
    'operator resolves an unknown outcome': (
        [(0, claim('a')), (1, unknown('a')), (2, RESOLVED)],
        'a',
        False,
    ),
    'settled key starts anew after its window': (
        [(0, claim('a')), (1, done('a')), (102, claim('b'))],
        'b',
        True,
    ),
    'settled key is honoured within its window': (
        [(0, claim('a')), (1, done('a')), (100, claim('b'))],
        'a',
        False,
    ),
    'unresolved key never starts anew': (
        [(0, claim('a')), (500, claim('b'))],
        'a',
        True,
    ),
    'carried claim keeps its winner for new readers': (
        [(60, claim('a', carried=True)), (61, claim('b'))],
        'a',
        True,
    ),
}


@pytest.mark.parametrize('case', CASES.values(), ids=CASES.keys())
def test_fold(
    case: tuple[list[tuple[float, EffectsRecord]], str, bool],
) -> None:
    records, winning_claim, unresolved = case
    table = KeyTable(WINDOW_S)
    for logged_at_s, record in records:
        table.fold(logged_at_s, record)
    state = table.state(KEY)
    assert state is not None
    assert getattr(state.winning_claim, 'claim_id', '') == winning_claim
    assert state.unresolved == unresolved


def test_purge_keeps_unresolved_keys() -> None:
    table = KeyTable(WINDOW_S)
    table.fold(0, claim('a'))
    other = CallKey('o', 's', 'other')
    table.fold(0, Claim(other, 'b', 'node', 0))
    table.fold(1, CallOutcome(other, 'b', 200))
    table.fold(500, Release(CallKey('o', 's', 'third'), 'c'))
    table.purge()
    assert table.state(KEY) is not None
    assert table.state(other) is None
