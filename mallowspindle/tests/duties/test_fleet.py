"""Orders of the fleet controller."""

import asyncio

from mallowspindle.adapter import Duties, NoServersAvailable, ScaleRequest
from mallowspindle.catalog.configuration import (
    BackendService,
    Configuration,
    FleetBounds,
)
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.duties.fleet import FleetController
from mallowspindle.policies.fleet import Demand
from mallowspindle.tests.clock import FakeClock

BOUNDS = FleetBounds(0, 3, 4, {'a': 1.0, 'b': 0.8}, reclaimable_price=0.2)


class FakeCatalog:
    """A catalog with the servers that a test registers."""

    def __init__(self) -> None:
        self.configuration = Configuration(
            1, services={'models': BackendService('models', 100, fleet=BOUNDS)}
        )
        self.servers: dict[str, BackendServer] = {}

    def put(self, name: str, zone: str, *, reclaimable: bool) -> None:
        """Register a server."""
        self.servers[name] = BackendServer(
            name, 'models', '10.0.0.1:80', zone, 64, reclaimable=reclaimable
        )


class FakeDuties(Duties):
    """Records the orders."""

    def __init__(self) -> None:
        self.orders: list[ScaleRequest] = []

    async def report_usage(self, *args: object) -> None:
        """Do nothing."""

    async def scale_service(
        self, fencing_number: int, request: ScaleRequest
    ) -> None:
        """Record an order."""
        self.orders.append(request)


class ScarceDuties(FakeDuties):
    """Refuses orders for reclaimable servers while these are scarce."""

    def __init__(self) -> None:
        super().__init__()
        self.scarce = True

    async def scale_service(
        self, fencing_number: int, request: ScaleRequest
    ) -> None:
        """Record an order, or refuse it."""
        if self.scarce and request.reclaimable:
            raise NoServersAvailable('none of that kind')
        await super().scale_service(fencing_number, request)


class RefusingDuties(FakeDuties):
    """Refuses all orders for reclaimable servers and counts the refusals."""

    def __init__(self) -> None:
        super().__init__()
        self.refused = 0

    async def scale_service(
        self, fencing_number: int, request: ScaleRequest
    ) -> None:
        """Record an order, or refuse and count it."""
        if request.reclaimable:
            self.refused += 1
            raise NoServersAvailable('none of that kind')
        await super().scale_service(fencing_number, request)


class SilentDuties(FakeDuties):
    """Never answers orders for the first zone."""

    def __init__(self) -> None:
        super().__init__()
        self.answered = asyncio.Event()

    async def scale_service(
        self, fencing_number: int, request: ScaleRequest
    ) -> None:
        """Record an order, or leave it unanswered."""
        if request.zone == 'a':
            await asyncio.Event().wait()
        await super().scale_service(fencing_number, request)
        self.answered.set()


def _controller(
    catalog: FakeCatalog, duties: Duties, clock: FakeClock
) -> FleetController:
    return FleetController(
        catalog,  # type: ignore[arg-type]
        duties,
        lambda service: Demand(prefill_load=0.8, running=5, slots=64),
        clock,
    )


async def test_on_demand_servers_stay_until_replacements_serve() -> None:
    """After a shortage, ordered reclaimable servers may register late."""
    clock = FakeClock()
    catalog, duties = FakeCatalog(), FakeDuties()
    for number in range(3):
        catalog.put(f'dear-{number}', 'b', reclaimable=False)
    for number in range(2):
        catalog.put(f'cheap-{number}', 'a', reclaimable=True)
    controller = _controller(catalog, duties, clock)
    await _run(controller, clock)
    # Five servers serve and three carry the load: two may be released.
    assert min(_on_demand_orders(duties)) == 1
    catalog.put('cheap-2', 'b', reclaimable=True)
    catalog.put('cheap-3', 'b', reclaimable=True)
    await _run(controller, clock)
    assert min(_on_demand_orders(duties)) == 0


async def test_on_demand_servers_stay_while_reclaimable_are_refused() -> None:
    """In a shortage, orders are repeated after a pause and refused again."""
    clock = FakeClock()
    catalog, duties = FakeCatalog(), ScarceDuties()
    catalog.put('dear-0', 'b', reclaimable=False)
    controller = _controller(catalog, duties, clock)
    await _run(controller, clock)
    assert set(_on_demand_orders(duties)) == {3}
    duties.scarce = False
    await _run(controller, clock)
    assert any(order.reclaimable for order in duties.orders)


async def test_a_refused_release_of_servers_is_not_repeated_at_once() -> None:
    """A zone without reclaimable servers refuses smaller orders, too."""
    clock = FakeClock()
    catalog, duties = FakeCatalog(), RefusingDuties()
    for number in range(12):
        catalog.put(f'cheap-{number}', 'ab'[number % 2], reclaimable=True)
    controller = _controller(catalog, duties, clock)
    await _run(controller, clock)
    # Two zones, twenty seconds, a pause of 2.5 s after each refusal.
    assert 2 <= duties.refused <= 2 * 20 / 2.5


async def test_an_unanswered_order_delays_no_other() -> None:
    """The platform may leave the orders of one zone unanswered."""
    clock = FakeClock()
    catalog, duties = FakeCatalog(), SilentDuties()
    catalog.put('dear-0', 'a', reclaimable=False)
    controller = _controller(catalog, duties, clock)
    task = asyncio.create_task(controller.reconcile(1))
    await asyncio.wait_for(duties.answered.wait(), timeout=10)
    assert {order.zone for order in duties.orders} == {'b'}
    task.cancel()


async def _run(controller: FleetController, clock: FakeClock) -> None:
    for _ in range(100):
        clock.advance(0.2)
        await controller.reconcile(1)


def _on_demand_orders(duties: FakeDuties) -> list[int]:
    return [
        order.desired
        for order in duties.orders
        if order.zone == 'b' and not order.reclaimable
    ]
