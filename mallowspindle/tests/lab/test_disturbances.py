"""Tests of the disturbances of the load patterns."""

import pytest

from mallowspindle.lab.disturbances import effects
from mallowspindle.lab.scenario import patterns


@pytest.mark.parametrize('name', sorted(patterns))
def test_each_disturbance_has_an_effect(name: str) -> None:
    kinds = {disturbance.kind for disturbance in patterns[name]().disturbances}
    assert kinds <= set(effects)
