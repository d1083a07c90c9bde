"""The settings tree: refusals, inheritance, repeats and snapshots."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowspindle.settings.records import Change
from mallowspindle.settings.tree import NEVER_SET, SettingsTree

HASH = 'a' * 64
SPLIT = '[split]\nnorth = {0}\nsouth = {1}\n'


def make_change(path: str, document: str, base: int, number: int = 0) -> Change:
    return Change(f'c{path}{base}{number}', path, document, base, 'anna', 0)


REFUSED = {
    'stale base': make_change('v', SPLIT.format(50, 50), 7),
    'shares over the whole': make_change('v', SPLIT.format(50, 51), NEVER_SET),
    'share not a number': make_change('v', SPLIT.format('x', 50), NEVER_SET),
    'negative share': make_change('v', SPLIT.format(-1, 101), NEVER_SET),
    'unknown section': make_change('v', '[colour]\nx = 1', NEVER_SET),
    'unknown option': make_change('v', '[access]\nx = 1', NEVER_SET),
    'broken INI': make_change('v', 'x', NEVER_SET),
    'too deep': make_change('a/b/c/d/e/f', '', NEVER_SET),
    'empty name': make_change('a//c', '', NEVER_SET),
    'token at a partner': make_change(
        'v/p', f'[organisation]\ntoken_sha256 = {HASH}', NEVER_SET
    ),
}


@pytest.mark.parametrize('refused', REFUSED.values(), ids=REFUSED.keys())
def test_invalid_change_is_refused(refused: Change) -> None:
    """Every node must refuse it alike, and the tree stays as it is."""
    tree = SettingsTree()
    tree.fold(0, refused)
    change_result = tree.change_result(refused.change_id)
    assert change_result is not None
    assert not change_result.accepted
    assert change_result.reason
    assert not tree.documents.nodes


def test_value_of_nearest_path_is_used() -> None:
    tree = SettingsTree()
    tree.fold(0, make_change('v', '[limits]\nrequests_per_s = 5', NEVER_SET))
    tree.fold(1, make_change('v/p', SPLIT.format(1, 99), NEVER_SET))
    tree.fold(2, make_change('v', SPLIT.format(60, 40), 0))
    tree.fold(
        3, make_change('v/p/o', '[limits]\nrequests_per_s = 9', NEVER_SET)
    )
    documents = tree.documents
    assert documents.organisation('v/p/o').limits.requests_per_s == 9
    assert documents.organisation('v/p/x').limits.requests_per_s == 0
    split = documents.split('v/p/o')
    assert split is not None
    assert split.version == 1


def test_token_belongs_to_one_organisation() -> None:
    tree = SettingsTree()
    document = f'[organisation]\ntoken_sha256 = {HASH}'
    tree.fold(0, make_change('v/p/one', document, NEVER_SET))
    second = make_change('v/p/two', document, NEVER_SET)
    tree.fold(1, second)
    change_result = tree.change_result(second.change_id)
    assert change_result is not None
    assert 'v/p/one' in change_result.reason


def test_repeated_change_is_applied_once() -> None:
    """A repeat of an older change must not revert a newer one."""
    tree = SettingsTree()
    repeated = make_change('v', SPLIT.format(60, 40), NEVER_SET)
    tree.fold(0, repeated)
    tree.fold(1, make_change('v', SPLIT.format(10, 90), 0))
    tree.fold(2, repeated)
    assert tree.path_version('v') == 1


_bases = st.integers(-1, 12)


@given(
    changes=st.lists(st.tuples(_bases, st.integers(0, 100)), max_size=12),
    cut=st.integers(0, 12),
)
def test_snapshot_with_later_records_gives_the_full_state(
    changes: list[tuple[int, int]], cut: int
) -> None:
    records = [
        make_change('v', SPLIT.format(share, 100 - share), base, number)
        for number, (base, share) in enumerate(changes)
    ]
    complete, partial = SettingsTree(), SettingsTree()
    for offset, record in enumerate(records):
        complete.fold(offset, record)
        if offset < cut:
            partial.fold(offset, record)
    restored = SettingsTree()
    restored.adopt(partial.snapshot())
    for offset, record in enumerate(records):
        restored.fold(offset, record)
    assert restored.documents.nodes == complete.documents.nodes
    assert restored.version == complete.version
    assert not complete.adopt(partial.snapshot())
