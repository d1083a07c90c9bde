"""Each node watches a bounded subset of the backend servers."""

from collections import Counter

from mallowspindle.native.cloud import Role, Vm
from mallowspindle.routing.directory import watched_subset


def _vm(number: int, role: Role, serves: str) -> Vm:
    return Vm(
        vm_id=f'vm-{number}', role=role, zone='a', address='h:1', serves=serves
    )


def test_all_servers_of_small_venture_are_watched() -> None:
    vms = [_vm(number, Role.ENGINE, 'letters') for number in range(9)]
    vms.append(_vm(9, Role.PLAIN, 'claims'))
    vms.append(_vm(10, Role.ENTRY, ''))
    watched = watched_subset(vms, 'entry-1', 24)
    assert {vm.vm_id for vm in watched} == {
        f'vm-{number}' for number in range(10)
    }


def test_servers_of_large_venture_are_spread_over_nodes() -> None:
    vms = [_vm(number, Role.ENGINE, 'letters') for number in range(720)]
    watchers: Counter[str] = Counter()
    for node in range(410):
        watched = watched_subset(vms, f'entry-{node}', 24)
        assert len(watched) == 24
        watchers.update(vm.vm_id for vm in watched)
    assert len(watchers) == 720
    assert max(watchers.values()) < 4 * 410 * 24 / 720
