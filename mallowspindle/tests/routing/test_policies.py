"""Routing policies under load and with cached prefixes, and ejection."""

import time
from typing import Any

import pytest

from mallowspindle.native.cloud import Role, Vm
from mallowspindle.routing.policies import RoutingQuery, policies
from mallowspindle.routing.prefixes import PrefixMemory, Prompt
from mallowspindle.routing.servers import Dispatch, LoadReport, ServerView

SHARED: list[dict[str, Any]] = [{'role': 'user', 'content': 'word ' * 2000}]


def _view(name: str, **report: int) -> ServerView:
    vm = Vm(vm_id=name, role=Role.ENGINE, zone='a', address='h:1')
    view = ServerView(vm)
    view.take_report(LoadReport.model_validate(report))
    return view


def _query(memory: PrefixMemory) -> RoutingQuery:
    return RoutingQuery(Prompt(SHARED), 100, memory)


@pytest.mark.parametrize('name', sorted(policies))
def test_every_policy_chooses_a_given_server(name: str) -> None:
    servers = [_view(f'vm-{number}') for number in range(30)]
    chosen = policies[name](servers, _query(PrefixMemory()))
    assert chosen in servers


def test_predicted_prefers_cached_prefix() -> None:
    memory = PrefixMemory()
    memory.remember('warm', Prompt(SHARED))
    chosen = policies['predicted'](
        [_view('cold'), _view('warm')], _query(memory)
    )
    assert chosen.vm.vm_id == 'warm'


def test_predicted_avoids_full_server_despite_cached_prefix() -> None:
    memory = PrefixMemory()
    memory.remember('warm', Prompt(SHARED))
    full = _view('warm', running=16, queued=200)
    chosen = policies['predicted']([_view('cold'), full], _query(memory))
    assert chosen.vm.vm_id == 'cold'


@pytest.mark.parametrize('name', ['least_loaded', 'predicted'])
def test_own_dispatches_count_before_the_next_report(name: str) -> None:
    busy, idle = _view('busy'), _view('idle')
    for number in range(20):
        busy.dispatches[str(number)] = Dispatch(time.monotonic() + 1, 3000)
    chosen = policies[name]([busy, idle], _query(PrefixMemory()))
    assert chosen is idle


def test_each_failure_ejects_for_longer() -> None:
    view = _view('vm')
    view.record_failure()
    first_ejection_s = view.suspect_until_s - time.monotonic()
    view.record_failure()
    assert view.suspect_until_s - time.monotonic() > first_ejection_s
    assert not view.usable
    view.record_success()
    assert view.usable
