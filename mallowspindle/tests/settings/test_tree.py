"""The settings tree: equal verdicts everywhere, and nothing reverts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowspindle.settings.records import Change
from mallowspindle.settings.tree import NEVER_SET, SettingsTree

HASH = 'a' * 64
SPLIT = '[split]\nnorth = {0}\nsouth = {1}\n'


def change(path: str, document: str, base: int, number: int = 0) -> Change:
    return Change(f'c{path}{base}{number}', path, document, base, 'anna', 0)


REFUSED = {
    'stale base': change('v', SPLIT.format(50, 50), 7),
    'shares over the whole': change('v', SPLIT.format(50, 51), NEVER_SET),
    'share not a number': change('v', SPLIT.format('x', 50), NEVER_SET),
    'negative share': change('v', SPLIT.format(-1, 101), NEVER_SET),
    'unknown section': change('v', '[colour]\nx = 1', NEVER_SET),
    'unknown option': change('v', '[access]\nx = 1', NEVER_SET),
    'broken INI': change('v', 'x', NEVER_SET),
    'too deep': change('a/b/c/d/e/f', '', NEVER_SET),
    'empty name': change('a//c', '', NEVER_SET),
    'token at a partner': change(
        'v/p', f'[organisation]\ntoken_sha256 = {HASH}', NEVER_SET
    ),
}


@pytest.mark.parametrize('made', REFUSED.values(), ids=REFUSED.keys())
def test_refused_everywhere_alike(made: Change) -> None:
    tree = SettingsTree()
    tree.fold(0, made)
    change_result = tree.change_result(made.change_id)
    assert change_result is not None
    assert not change_result.accepted
    assert change_result.reason
    assert not tree.documents.nodes


def test_nearest_value_wins() -> None:
    tree = SettingsTree()
    tree.fold(0, change('v', '[limits]\nrequests_per_s = 5', NEVER_SET))
    tree.fold(1, change('v/p', SPLIT.format(1, 99), NEVER_SET))
    tree.fold(2, change('v', SPLIT.format(60, 40), 0))
    tree.fold(3, change('v/p/o', '[limits]\nrequests_per_s = 9', NEVER_SET))
    documents = tree.documents
    assert documents.organisation('v/p/o').limits.requests_per_s == 9
    assert documents.organisation('v/p/x').limits.requests_per_s == 0
    near = documents.split('v/p/o')
    assert near is not None
    assert near.version == 1


def test_token_belongs_to_one_organisation() -> None:
    tree = SettingsTree()
    document = f'[organisation]\ntoken_sha256 = {HASH}'
    tree.fold(0, change('v/p/one', document, NEVER_SET))
    second = change('v/p/two', document, NEVER_SET)
    tree.fold(1, second)
    change_result = tree.change_result(second.change_id)
    assert change_result is not None
    assert 'v/p/one' in change_result.reason


def test_repeated_change_counts_once() -> None:
    tree = SettingsTree()
    made = change('v', SPLIT.format(60, 40), NEVER_SET)
    tree.fold(0, made)
    tree.fold(1, change('v', SPLIT.format(10, 90), 0))
    tree.fold(2, made)
    assert tree.path_version('v') == 1


_bases = st.integers(-1, 12)


@given(
    changes=st.lists(st.tuples(_bases, st.integers(0, 100)), max_size=12),
    cut=st.integers(0, 12),
)
def test_snapshot_and_rest_equal_the_whole(
    changes: list[tuple[int, int]], cut: int
) -> None:
    records = [
        change('v', SPLIT.format(share, 100 - share), base, number)
        for number, (base, share) in enumerate(changes)
    ]
    whole, part = SettingsTree(), SettingsTree()
    for offset, record in enumerate(records):
        whole.fold(offset, record)
        if offset < cut:
            part.fold(offset, record)
    late = SettingsTree()
    late.adopt(part.snapshot())
    for offset, record in enumerate(records):
        late.fold(offset, record)
    assert late.documents.nodes == whole.documents.nodes
    assert late.version == whole.version
    assert not whole.adopt(part.snapshot())
