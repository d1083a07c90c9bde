"""Tests of the garbage collection."""

import gc
import weakref
from collections.abc import Iterator

import pytest

from mallowspindle.utils.heap import permanent_objects


class _Cycle:
    """An object that only the garbage collection can free."""

    def __init__(self) -> None:
        self.own = self


@pytest.fixture(autouse=True)
def _unfrozen() -> Iterator[None]:
    yield
    gc.unfreeze()


def test_what_was_loaded_is_not_visited_again() -> None:
    with permanent_objects():
        assert not gc.isenabled()
    assert gc.isenabled()
    assert gc.get_freeze_count() > len(gc.get_objects())


def test_what_comes_later_is_collected() -> None:
    with permanent_objects():
        loaded = _Cycle()
    assert loaded.own is loaded
    found = weakref.ref(_Cycle())
    assert found() is not None
    gc.collect()
    assert found() is None


def test_collections_go_on_after_an_error() -> None:
    with pytest.raises(ValueError, match='not loaded'), permanent_objects():
        raise ValueError('not loaded')
    assert gc.isenabled()
