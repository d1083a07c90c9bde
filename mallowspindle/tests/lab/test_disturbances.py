"""Troubles of the load patterns."""

import pytest

from mallowspindle.lab.disturbances import effects
from mallowspindle.lab.scenario import patterns


@pytest.mark.parametrize('name', sorted(patterns))
def test_each_trouble_has_an_effect(name: str) -> None:
    kinds = {trouble.kind for trouble in patterns[name]().troubles}
    assert kinds <= set(effects)
