"""Decides on rollouts while this node holds the duties' lease."""

from collections.abc import Callable
from functools import partial
from typing import Self

from mallowspindle.catalog.service import CatalogService
from mallowspindle.duties.service import DutiesService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.rollouts.controller import RolloutController, Tenure
from mallowspindle.rollouts.observing import RolloutObserver
from mallowspindle.rollouts.service import RolloutsService
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically

_STEP_S = 0.2


@service(
    'rollout-control', requires=('border', 'catalog', 'duties', 'rollouts')
)
class RolloutControlService(Service):
    """Runs a controller while this node holds the duties' lease.

    ``holder`` returns the fencing number of this node's lease, or None.
    """

    def __init__(
        self,
        holder: Callable[[], int | None],
        new_controller: Callable[[Tenure], RolloutController],
    ) -> None:
        self._holder = holder
        self._new_controller = new_controller
        self._controller: RolloutController | None = None
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service; it does nothing where rollouts are off."""
        rollouts = kernel.find('rollouts', RolloutsService)
        duties = kernel.find('duties', Service)
        store, terms = rollouts.store, rollouts.terms
        if not isinstance(duties, DutiesService):
            return NoRollouts()  # type: ignore[return-value]
        if store is None or terms is None:
            return NoRollouts()  # type: ignore[return-value]
        catalog = kernel.find('catalog', CatalogService)
        sharing = kernel.find('sharing', SharingService)
        new_observer = partial(
            RolloutObserver, rollouts.accounts, catalog, sharing, terms
        )

        def new_controller(tenure: Tenure) -> RolloutController:
            return RolloutController(
                rollouts, catalog, new_observer(), store, tenure
            )

        return cls(lambda: duties.fencing_number, new_controller)

    async def start(self) -> None:
        """Start to decide as soon as this node holds the lease."""
        self._tasks.spawn(run_periodically(self._step, _STEP_S), 'rollouts')

    async def prepare_drain(self) -> None:
        """Leave the decisions to the next holder."""
        await self.stop()

    async def stop(self) -> None:
        """Stop deciding."""
        await self._tasks.cancel()
        await self._end()

    async def _step(self) -> None:
        number = self._holder()
        if self._controller and self._controller.fencing_number != number:
            await self._end()
        if number is None:
            return
        if self._controller is None:
            self._controller = self._new_controller(
                Tenure(number, lambda: self._holder() == number)
            )
        self._controller.step()

    async def _end(self) -> None:
        controller = self._controller
        self._controller = None
        if controller is not None:
            await controller.stop()


class NoRollouts(Service):
    """Replaces the service where rollouts are off."""
