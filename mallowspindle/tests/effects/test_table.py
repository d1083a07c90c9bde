"""State of a key after sequences of effects records."""

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

# Each case has records with their times in the log, the claim that wins, and
# whether the call is unresolved after the last record.
CASES: dict[str, tuple[list[tuple[float, EffectsRecord]], str, bool]] = {
    'first claim wins': ([(0, claim('a')), (0, claim('b'))], 'a', True),
    'repeated claim has no further effect': (
        [(0, claim('a')), (1, claim('a'))],
        'a',
        True,
    ),
    'first claim after a release wins': (
        [
            (0, claim('a')),
            (0, claim('b')),
            (1, Release(KEY, 'a')),
            (2, claim('c')),
        ],
        'c',
        True,
    ),
    'claim before a release does not win later': (
        [(0, claim('a')), (0, claim('b')), (1, Release(KEY, 'a'))],
        '',
        False,
    ),
    'claim appended after its release is ignored': (
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
    'outcome of a losing claim is ignored': (
        [(0, claim('a')), (1, done('b'))],
        'a',
        True,
    ),
    'later outcome does not replace the first': (
        [(0, claim('a')), (1, unknown('a')), (2, done('a'))],
        'a',
        True,
    ),
    'operator resolves an unknown outcome': (
        [(0, claim('a')), (1, unknown('a')), (2, RESOLVED)],
        'a',
        False,
    ),
    'resolved key can be claimed again after its window': (
        [(0, claim('a')), (1, done('a')), (102, claim('b'))],
        'b',
        True,
    ),
    'resolved key is remembered within its window': (
        [(0, claim('a')), (1, done('a')), (100, claim('b'))],
        'a',
        False,
    ),
    'unresolved key is never reset': (
        [(0, claim('a')), (500, claim('b'))],
        'a',
        True,
    ),
    'carried claim wins for readers that start at it': (
        [(60, claim('a', carried=True)), (61, claim('b'))],
        'a',
        True,
    ),
}


@pytest.mark.parametrize('case', CASES.values(), ids=CASES.keys())
def test_state_after_records(
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
