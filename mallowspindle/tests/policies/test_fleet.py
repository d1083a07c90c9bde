"""Fleet sizes and targets under bursts and the loss of a zone's servers."""

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
ALL_AVAILABLE = {zone: ZoneFleet() for zone in BOUNDS.zone_prices}


def test_reclaimable_servers_are_spread_from_cheapest_zone() -> None:
    targets = plan_fleet(BOUNDS, ALL_AVAILABLE, FleetSize(6, 5))
    reclaimable = {zone: target.reclaimable for zone, target in targets.items()}
    assert reclaimable == {'a': 1, 'b': 2, 'c': 1, 'd': 2}
    assert not any(target.on_demand for target in targets.values())


def test_shortfall_is_covered_on_demand_in_cheapest_zone() -> None:
    zones = {
        **dict.fromkeys(BOUNDS.zone_prices, ZoneFleet(1, 0, False)),
        'b': ZoneFleet(0, 0, reclaimable_available=False),
    }
    targets = plan_fleet(BOUNDS, zones, FleetSize(6, 5))
    on_demand = {zone: target.on_demand for zone, target in targets.items()}
    assert on_demand == {'a': 0, 'b': 2, 'c': 0, 'd': 0}


def test_other_zones_cover_zone_without_reclaimable_servers() -> None:
    zones = {**ALL_AVAILABLE, 'b': ZoneFleet(0, 0, reclaimable_available=False)}
    targets = plan_fleet(BOUNDS, zones, FleetSize(6, 5))
    reclaimable = {zone: target.reclaimable for zone, target in targets.items()}
    assert reclaimable == {'a': 2, 'b': 0, 'c': 2, 'd': 2}
    assert not any(target.on_demand for target in targets.values())


def test_enough_servers_survive_loss_of_largest_zone() -> None:
    """Guards against too few servers after the loss of a zone.

    Two zones had no reclaimable servers, so the other two held the whole fleet
    and were reclaimed one after the other.
    """
    bounds = FleetBounds(1, 36, 4, dict(BOUNDS.zone_prices), 0.2)
    exhausted = ZoneFleet(0, 0, reclaimable_available=False)
    zones = {
        'a': ZoneFleet(11, 0, reclaimable_available=False),
        'b': ZoneFleet(12, 0, reclaimable_available=False),
        'c': exhausted,
        'd': exhausted,
    }
    targets = plan_fleet(bounds, zones, FleetSize(30, 19))
    on_demand = sum(target.on_demand for target in targets.values())
    surviving = sum(target.reclaimable for target in targets.values()) - 12
    assert surviving + on_demand >= 0.8 * 19
    assert on_demand <= 6


def test_available_reclaimable_servers_cover_loss_of_zone() -> None:
    bounds = FleetBounds(1, 36, 4, dict(BOUNDS.zone_prices), 0.2)
    exhausted = ZoneFleet(0, 0, reclaimable_available=False)
    zones = {'a': ZoneFleet(), 'b': ZoneFleet(), 'c': exhausted, 'd': exhausted}
    targets = plan_fleet(bounds, zones, FleetSize(22, 19))
    reclaimable = [target.reclaimable for target in targets.values()]
    on_demand = sum(target.on_demand for target in targets.values())
    assert sum(reclaimable) - max(reclaimable) + on_demand >= 0.8 * 19
    assert on_demand <= 1


def test_zone_targets_stay_within_maximum() -> None:
    targets = plan_fleet(BOUNDS, ALL_AVAILABLE, FleetSize(40, 40))
    assert all(
        target.reclaimable + target.on_demand <= BOUNDS.max_servers
        for target in targets.values()
    )


def test_fleet_is_on_demand_without_reclaimable_price() -> None:
    bounds = FleetBounds(1, 3, 4, dict(BOUNDS.zone_prices))
    targets = plan_fleet(bounds, ALL_AVAILABLE, FleetSize(5, 4))
    assert sum(target.on_demand for target in targets.values()) == 5


def test_fleet_grows_at_once_and_shrinks_after_delay() -> None:
    clock = FakeClock()
    sizer = FleetSizer(clock)
    clock.advance(20)
    sizer.note(Demand(prefill_load=1, running=10, slots=64))
    clock.advance(20)
    sizer.note(Demand(prefill_load=1, running=10, slots=64))
    quiet = sizer.required_size().servers
    sizer.note(Demand(prefill_load=3, running=30, slots=64))
    busy = sizer.required_size().servers
    assert busy > quiet
    clock.advance(4)
    sizer.note(Demand(prefill_load=1, running=10, slots=64))
    assert sizer.required_size().servers == busy
    clock.advance(6)
    sizer.note(Demand(prefill_load=1, running=10, slots=64))
    assert sizer.required_size().servers == quiet


def test_initial_size_counts_servers_that_register_late() -> None:
    clock = FakeClock()
    sizer = FleetSizer(clock)
    sizer.note_existing_servers(0, 1)
    clock.advance(2)
    sizer.note_existing_servers(0, 6)
    assert sizer.required_size().servers >= 6
    clock.advance(2)
    sizer.note_existing_servers(0, 12)
    assert sizer.required_size().servers < 12


def test_successor_keeps_fleet_of_previous_holder() -> None:
    """Guards against shrinking the fleet after all nodes were killed.

    The new holder of the duties does not know the demand yet.
    """
    sizer = FleetSizer(FakeClock())
    sizer.note_existing_servers(10, 0)
    assert sizer.required_size().servers == 10
    # If a zone is reclaimed now, its servers aren't replaced at the full price.
    assert sizer.required_size().without_reclaimable == 1


def test_fleet_size_follows_running_requests() -> None:
    sizer = FleetSizer(FakeClock())
    sizer.note(Demand(prefill_load=0.1, running=640, slots=64))
    assert sizer.required_size().servers >= 10
