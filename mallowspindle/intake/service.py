"""What all listeners of a process share to bound their clients."""

from collections.abc import Iterable
from typing import Self

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.intake.answers import AnswerBudget
from mallowspindle.intake.bounds import IntakeBounds
from mallowspindle.intake.budget import ByteBudget
from mallowspindle.intake.turns import ReadTurns
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.utils.telemetry import meter


@service('intake')
class IntakeService(Service):
    """The budgets of bytes, the turns of reading and the bounds."""

    def __init__(self, bounds: IntakeBounds) -> None:
        self._bounds = bounds
        self._budget = ByteBudget(bounds.unfinished_bytes)
        self._answers = AnswerBudget(bounds.answer_bytes)
        self._turns = ReadTurns()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service from the settings."""
        return cls(IntakeBounds.from_config(kernel.config.intake))

    @property
    def bounds(self) -> IntakeBounds:
        """The bounds on bytes and connections."""
        return self._bounds

    @property
    def budget(self) -> ByteBudget:
        """The budget of unfinished requests."""
        return self._budget

    @property
    def answers(self) -> AnswerBudget:
        """The budget of answers that are not forwarded yet."""
        return self._answers

    @property
    def turns(self) -> ReadTurns:
        """The turns in which connections are read."""
        return self._turns

    async def start(self) -> None:
        """Report what unfinished requests and answers hold."""
        meter.create_observable_gauge(
            'unfinished_request', [self._observe_used], unit='By'
        )
        meter.create_observable_gauge(
            'held_answer', [self._observe_answers], unit='By'
        )

    def _observe_used(self, options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(self._budget.used_bytes)]

    def _observe_answers(
        self, options: CallbackOptions
    ) -> Iterable[Observation]:
        return [Observation(self._answers.used_bytes)]
