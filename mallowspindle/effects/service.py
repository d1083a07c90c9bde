"""At-most-once execution of non-idempotent calls through the log."""

import asyncio
import logging
from collections.abc import Callable
from typing import Self

from aiohttp import ClientSession, TCPConnector

from mallowspindle.config.native import NativeSettings
from mallowspindle.effects.call import PlainClient
from mallowspindle.effects.errors import EffectsError
from mallowspindle.effects.executor import (
    RETRY_AFTER_S,
    CallPlan,
    Executor,
)
from mallowspindle.effects.records import (
    CallKey,
    CallOutcome,
    Claim,
    Resolution,
    stream_name_of,
)
from mallowspindle.effects.stream import EffectsStream
from mallowspindle.effects.table import KeyState
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.service import MembershipService
from mallowspindle.native.log import LogClient
from mallowspindle.native.service import NativeService
from mallowspindle.outcomes import Done, Failed, NotRun, Outcome, Unknown
from mallowspindle.routing.router import RouterService
from mallowspindle.utils.identifiers import new_id, rendezvous_order
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically

log = logging.getLogger(__name__)

_CONFLICT = 409
_RECHECK_INTERVAL_S = 0.2
_CARRIES_PER_WINDOW = 4


@service('effects', requires=('native', 'membership', 'router'))
class EffectsService(Service):
    """Runs keyed calls at most once by claiming them in the log first."""

    def __init__(
        self,
        config: NativeSettings,
        log_client: LogClient,
        membership: MembershipService,
        router: RouterService,
        client: PlainClient,
        now: Callable[[], float] | None = None,
    ) -> None:
        self._section = config.effects
        self._membership = membership
        self._client = client
        self._now = now or membership.clock.now_s
        self._streams = {
            name: EffectsStream(
                name,
                log_client,
                self._section.window_s,
                self._section.commit_interval_s,
            )
            for name in _stream_names(self._section.streams)
        }
        own = membership.own
        self._node = f'{own.name}/{own.incarnation}'
        self._executor = Executor(
            self._node, client, router, self._section.claim_timeout_s
        )
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service on the shared log client."""
        client = PlainClient(
            ClientSession(connector=TCPConnector(force_close=True)),
            kernel.settings(NativeSettings).routing.connect_timeout_s,
            kernel.settings(NativeSettings).effects.call_timeout_s,
        )
        return cls(
            kernel.settings(NativeSettings),
            kernel.find('native', NativeService).log,
            kernel.find('membership', MembershipService),
            kernel.find('router', RouterService),
            client,
        )

    def time_s(self) -> float:
        """Return the Unix time, which is never before that of the log.

        Keys are forgotten by the log's time. One that is forgotten must not
        seem young because the time of this VM is behind.
        """
        logged_at_s = [
            stream.table.latest_logged_at_s for stream in self._streams.values()
        ]
        return max(self._now(), *logged_at_s)

    async def start(self) -> None:
        """Start to follow the streams and to carry claims forward."""
        for stream in self._streams.values():
            stream.start()
        interval_s = self._section.window_s / _CARRIES_PER_WINDOW
        self._tasks.spawn(
            run_periodically(self._carry_forward, interval_s), 'carry'
        )

    async def drain(self, timeout_s: float) -> None:
        """Wait until the outcomes of all calls are in the log."""
        await self._executor.flush_records(timeout_s)

    async def stop(self) -> None:
        """Stop all background work and close the client."""
        await self._tasks.cancel()
        await self._executor.close()
        for stream in self._streams.values():
            await stream.stop()
        await self._client.close()

    async def run(self, plan: CallPlan, wait_s: float) -> Outcome:
        """Run a keyed call, or return the outcome of its earlier run.

        Waits up to ``wait_s`` for a call with the same key that is in
        progress.
        """
        call = plan.call
        key = CallKey(call.organisation, call.service, call.key)
        stream = self._streams[stream_name_of(key, self._section.streams)]
        if not stream.ready:
            return NotRun('the log has not been read yet', RETRY_AFTER_S)
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            state = stream.table.state(key)
            if state is None or state.winning_claim is None:
                claim = Claim(key, new_id('claim'), self._node, self._now())
                outcome = await self._executor.run(stream, claim, plan)
            else:
                outcome = await self._await_winner(stream, state, deadline_s)
            if outcome is not None:
                return outcome

    async def run_unkeyed(self, plan: CallPlan) -> Outcome:
        """Run a call without a key; it is sent again only if it was not run."""
        return await self._executor.run_unkeyed(plan)

    def unresolved(self) -> list[KeyState]:
        """Return the unresolved calls that no live node is running."""
        return [
            state
            for stream in self._streams.values()
            for state in stream.table.unresolved()
            if state.winning_claim is not None
            and not self._is_running(state.winning_claim)
        ]

    async def resolve(self, finding: Resolution) -> bool:
        """Record an operator's finding; False if the call is not unresolved.

        Raises ``EffectsError`` if the append fails.
        """
        name = stream_name_of(finding.key, self._section.streams)
        stream = self._streams[name]
        await stream.append(finding)
        state = stream.table.state(finding.key)
        return state is not None and state.resolution == finding

    async def _await_winner(
        self, stream: EffectsStream, state: KeyState, deadline_s: float
    ) -> Outcome | None:
        """Return the outcome of the winning claim; None if it was released."""
        winning_claim = state.winning_claim
        while (
            winning_claim is not None and state.winning_claim == winning_claim
        ):
            known_outcome = _known_outcome(state)
            if known_outcome is not None:
                return known_outcome
            if not self._is_running(winning_claim):
                return await _read_last_outcome(stream, state)
            if asyncio.get_running_loop().time() >= deadline_s:
                return Unknown('the call is in progress at another node')
            await self._wait_for_change(stream, state, winning_claim)
        return None

    async def _wait_for_change(
        self, stream: EffectsStream, state: KeyState, winning_claim: Claim
    ) -> None:
        try:
            async with asyncio.timeout(_RECHECK_INTERVAL_S):
                await stream.wait_for(
                    lambda: (
                        state.outcome is not None
                        or state.winning_claim != winning_claim
                    )
                )
        except TimeoutError:
            return

    def _is_running(self, claim: Claim) -> bool:
        if claim.node == self._node:
            return self._executor.is_running(claim)
        live = self._membership.table.live()
        return claim.node in {
            f'{info.name}/{info.incarnation}' for info in live
        }

    async def _carry_forward(self) -> None:
        """Append old unresolved claims again before their records expire.

        The first live node in rendezvous order does this for a stream.
        """
        names = [info.name for info in self._membership.table.live()]
        own = self._membership.own.name
        cutoff_s = self._now() - self._section.window_s / 2
        for stream in self._streams.values():
            if rendezvous_order(stream.name, [own, *names])[0] != own:
                continue
            for state in stream.table.unresolved():
                if state.logged_at_s < cutoff_s:
                    await _append_carried(stream, state)
            stream.table.purge()


def _stream_names(streams: int) -> list[str]:
    return [f'effects-{index}' for index in range(streams)]


def _known_outcome(state: KeyState) -> Outcome | None:
    if state.resolution is not None:
        found = 'ran' if state.resolution.ran else 'did not run'
        return Failed(_CONFLICT, f'an operator found that the call {found}')
    if state.outcome is None:
        return None
    return _as_outcome(state.outcome)


async def _read_last_outcome(stream: EffectsStream, state: KeyState) -> Outcome:
    """Return the outcome in the log of a call whose node is gone."""
    try:
        await stream.read_available()
    except EffectsError as error:
        log.warning('stream %s could not be read: %s', stream.name, error)
    return _known_outcome(state) or Unknown(
        'the node that ran the call is gone'
    )


def _as_outcome(outcome: CallOutcome) -> Outcome:
    if outcome.unknown:
        return Unknown(outcome.unknown)
    return Done(outcome.status, outcome.content_type, outcome.body)


async def _append_carried(stream: EffectsStream, state: KeyState) -> None:
    if state.winning_claim is None:
        return
    carried = Claim(
        state.winning_claim.key,
        state.winning_claim.claim_id,
        state.winning_claim.node,
        state.winning_claim.at_s,
        carried=True,
    )
    try:
        await stream.append(carried)
        if state.outcome is not None:
            await stream.append(state.outcome)
    except EffectsError as error:
        log.warning('claim of %s not carried forward: %s', carried.key, error)
