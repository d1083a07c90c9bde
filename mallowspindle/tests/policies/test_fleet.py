"""The fleet under bursts and the loss of a zone's servers."""

from mallowspindle.catalog.configuration import FleetBounds
from mallowspindle.policies.fleet import (
    Demand,
    FleetSize,
    FleetSizer,
    ZoneFleet,
    plan_fleet,
)
from mallowspindle.tests.clock import FakeClock

BOUNDS = FleetBounds(
    min_servers=1,
    max_servers=3,
    boot_s=4,
    zone_prices={'a': 1.0, 'b': 0.8, 'c': 1.25, 'd': 0.9},
    reclaimable_price=0.2,
)
ALL_FREE = {zone: ZoneFleet() for zone in BOUNDS.zone_prices}


def test_reclaimable_servers_are_spread_cheapest_first() -> None:
    targets = plan_fleet(BOUNDS, ALL_FREE, FleetSize(6, 5))
    reclaimable = {zone: each.reclaimable for zone, each in targets.items()}
    assert reclaimable == {'a': 1, 'b': 2, 'c': 1, 'd': 2}
    assert not any(each.on_demand for each in targets.values())


def test_what_a_dry_zone_lacks_comes_on_demand_from_the_cheapest() -> None:
    zones = {
        **dict.fromkeys(BOUNDS.zone_prices, ZoneFleet(1, 0, False)),
        'b': ZoneFleet(0, 0, reclaimable_available=False),
    }
    targets = plan_fleet(BOUNDS, zones, FleetSize(6, 5))
    on_demand = {zone: each.on_demand for zone, each in targets.items()}
    assert on_demand == {'a': 0, 'b': 2, 'c': 0, 'd': 0}


def test_zones_that_have_reclaimable_servers_make_up_for_a_dry_one() -> None:
    zones = {**ALL_FREE, 'b': ZoneFleet(0, 0, reclaimable_available=False)}
    targets = plan_fleet(BOUNDS, zones, FleetSize(6, 5))
    reclaimable = {zone: each.reclaimable for zone, each in targets.items()}
    assert reclaimable == {'a': 2, 'b': 0, 'c': 2, 'd': 2}
    assert not any(each.on_demand for each in targets.values())


def test_the_loss_of_a_full_zone_leaves_enough() -> None:
    """Replays two dry zones: the others held all servers and went in turn."""
    bounds = FleetBounds(1, 36, 4, dict(BOUNDS.zone_prices), 0.2)
    dry = ZoneFleet(0, 0, reclaimable_available=False)
    zones = {
        'a': ZoneFleet(11, 0, reclaimable_available=False),
        'b': ZoneFleet(12, 0, reclaimable_available=False),
        'c': dry,
        'd': dry,
    }
    targets = plan_fleet(bounds, zones, FleetSize(30, 19))
    on_demand = sum(each.on_demand for each in targets.values())
    left = sum(each.reclaimable for each in targets.values()) - 12
    assert left + on_demand >= 0.8 * 19
    assert on_demand <= 6


def test_zones_with_more_to_be_had_make_up_for_the_loss_of_one() -> None:
    bounds = FleetBounds(1, 36, 4, dict(BOUNDS.zone_prices), 0.2)
    dry = ZoneFleet(0, 0, reclaimable_available=False)
    zones = {'a': ZoneFleet(), 'b': ZoneFleet(), 'c': dry, 'd': dry}
    targets = plan_fleet(bounds, zones, FleetSize(22, 19))
    reclaimable = [each.reclaimable for each in targets.values()]
    on_demand = sum(each.on_demand for each in targets.values())
    assert sum(reclaimable) - max(reclaimable) + on_demand >= 0.8 * 19
    assert on_demand <= 1


def test_no_zone_gets_more_than_its_bound() -> None:
    targets = plan_fleet(BOUNDS, ALL_FREE, FleetSize(40, 40))
    assert all(
        each.reclaimable + each.on_demand <= BOUNDS.max_servers
        for each in targets.values()
    )


def test_a_fleet_without_reclaimable_servers_is_on_demand() -> None:
    bounds = FleetBounds(1, 3, 4, dict(BOUNDS.zone_prices))
    targets = plan_fleet(bounds, ALL_FREE, FleetSize(5, 4))
    assert sum(each.on_demand for each in targets.values()) == 5


def test_the_size_follows_demand_up_at_once_and_down_slowly() -> None:
    clock = FakeClock()
    sizer = FleetSizer(clock)
    clock.advance(20)
    sizer.note(Demand(prefill_load=1, running=10, slots=64))
    clock.advance(20)
    sizer.note(Demand(prefill_load=1, running=10, slots=64))
    quiet = sizer.wanted().servers
    sizer.note(Demand(prefill_load=3, running=30, slots=64))
    busy = sizer.wanted().servers
    assert busy > quiet
    clock.advance(4)
    sizer.note(Demand(prefill_load=1, running=10, slots=64))
    assert sizer.wanted().servers == busy
    clock.advance(6)
    sizer.note(Demand(prefill_load=1, running=10, slots=64))
    assert sizer.wanted().servers == quiet


def test_the_first_fleet_counts_all_servers_that_register() -> None:
    clock = FakeClock()
    sizer = FleetSizer(clock)
    sizer.note_existing_servers(0, 1)
    clock.advance(2)
    sizer.note_existing_servers(0, 6)
    assert sizer.wanted().servers >= 6
    clock.advance(2)
    sizer.note_existing_servers(0, 12)
    assert sizer.wanted().servers < 12


def test_a_successor_keeps_the_fleet_of_the_holder_before() -> None:
    """Replays the kill of all nodes: the demand is not known yet."""
    sizer = FleetSizer(FakeClock())
    sizer.note_existing_servers(10, 0)
    assert sizer.wanted().servers == 10
    # Nor does it replace them at the full price if a zone is reclaimed now.
    assert sizer.wanted().without_reclaimable == 1


def test_many_running_requests_need_servers_too() -> None:
    sizer = FleetSizer(FakeClock())
    sizer.note(Demand(prefill_load=0.1, running=640, slots=64))
    assert sizer.wanted().servers >= 10
