"""Callers who keep connections open and take streams up elsewhere."""

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass
from itertools import count, product
from types import MappingProxyType

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from mallowspindle.soak.records import PROMISES, Try
from mallowspindle.soak.world import EVENTS, World

LOOKUP = 'status'
ORDER = 'orders'
LETTER = 'letters'
QUESTION = 'questions'
# A lookup on a route that was added.
ADDED = 'route'
STREAMS = frozenset((LETTER, QUESTION))
SERVICES = MappingProxyType(
    {
        LOOKUP: 'shop',
        ORDER: 'shop',
        ADDED: 'shop',
        LETTER: 'models',
        QUESTION: 'models',
    }
)
# Kinds of which several tries may run.
REPEATABLE = frozenset((LOOKUP, LETTER))


@dataclass(frozen=True, slots=True)
class _Load:
    """How many callers send a kind of request, and their mean pause."""

    kind: str
    callers: int
    pause_s: float


_LOADS = (
    _Load(LOOKUP, 2, 0.2),
    # Their connections are idle for long.
    _Load(LOOKUP, 30, 3),
    _Load(ORDER, 4, 0.25),
    _Load(LETTER, 12, 0.1),
    _Load(QUESTION, 3, 0.2),
)
# Lookups that are sent once, whatever becomes of those before, so that services
# that reject requests get as many as others.
_STEADY_PER_S = 30.0
_DEADLINES_MS = MappingProxyType(
    {LOOKUP: 2500, ORDER: 2500, LETTER: 15_000, QUESTION: 15_000}
)
_TICK_S = 0.02
# Streams are taken up more often than other requests are repeated.
_MAX_TRIES = MappingProxyType({LOOKUP: 2, ORDER: 2, LETTER: 3, QUESTION: 3})
_MAX_WAIT_S = 1.0
# Mean pause after a request that failed. Without it, failures that come fast
# multiply the requests, and with them the repeats that are allowed.
_FAILED_PAUSE_S = 2.0
# Callers give up a stream after so long a gap.
_MAX_GAP_S = 4.0


class Callers:
    """Sends requests of all kinds until it is told to stop."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._numbers = count()
        self.tries: list[Try] = []
        self.stalls: list[tuple[float, float]] = []
        self.stopped = asyncio.Event()

    async def run(self) -> None:
        """Send requests until ``stopped``, and end those in progress."""
        await asyncio.gather(
            self._watch_stalls(),
            self._run_steadily(),
            *(
                self._run_caller(load)
                for load in _LOADS
                for _ in range(load.callers)
            ),
        )

    async def ask_all_nodes(self, times: int) -> list[Try]:
        """Send one request of each kind to each node, and so on."""
        async with ClientSession() as session:
            tries = [
                self._new_try(kind, name)
                for kind, name in product(
                    _DEADLINES_MS, self._world.nodes * times
                )
            ]
            await asyncio.gather(*(self._send(session, each) for each in tries))
        return tries

    async def _watch_stalls(self) -> None:
        """Record when this process stands still for longer than a tick."""
        while not self.stopped.is_set():
            began_at_s = time.monotonic()
            await asyncio.sleep(_TICK_S)
            ended_at_s = time.monotonic()
            if ended_at_s - began_at_s > 2 * _TICK_S:
                self.stalls.append((began_at_s + _TICK_S, ended_at_s))

    async def _run_caller(self, load: _Load) -> None:
        async with ClientSession() as session:
            while not self.stopped.is_set():
                served = await self._ask(
                    session, load.kind, _MAX_TRIES[load.kind]
                )
                pause_s = load.pause_s if served else _FAILED_PAUSE_S
                pause_s *= self._rng.random() * 2
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.stopped.wait(), pause_s)

    async def _run_steadily(self) -> None:
        async with (
            ClientSession(connector=TCPConnector(limit=0)) as session,
            asyncio.TaskGroup() as tasks,
        ):
            while not self.stopped.is_set():
                tasks.create_task(self._ask(session, LOOKUP, max_tries=1))
                pause_s = self._rng.expovariate(_STEADY_PER_S)
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.stopped.wait(), pause_s)

    async def _ask(
        self, session: ClientSession, kind: str, max_tries: int
    ) -> bool:
        """Send a request, and try again where a caller may; whether served."""
        stream, last_event = '', 0
        for _ in range(max_tries):
            running = list(filter(self._world.is_running, self._world.nodes))
            if not running:
                return False
            attempt = self._new_try(kind, self._rng.choice(running))
            attempt.stream = stream or attempt.request_id
            attempt.last_event = last_event
            self.tries.append(attempt)
            retry_after_s = await self._send(session, attempt)
            last_event += attempt.text.count('\n\n')
            if last_event and not stream:
                stream = attempt.request_id
            if attempt.is_whole or not _may_repeat(attempt):
                return attempt.is_whole
            await asyncio.sleep(min(_MAX_WAIT_S, retry_after_s))
        return False

    def _new_try(self, kind: str, node: str) -> Try:
        request_id = f'{kind}-{next(self._numbers)}'
        return Try(request_id, kind, node, time.monotonic())

    async def _send(self, session: ClientSession, attempt: Try) -> float:
        """Send one try; return when the caller may come back."""
        headers = self._world.request_headers(attempt.request_id)
        headers['Deadline-Ms'] = str(_DEADLINES_MS[attempt.kind])
        if attempt.last_event:
            headers['Last-Event-Id'] = str(attempt.last_event)
            headers['Resumes'] = attempt.stream
        retry_after_s = 0.05
        path = f'/{attempt.kind}/{attempt.request_id}'
        with suppress(ClientError, TimeoutError, OSError):
            async with session.request(
                'GET' if attempt.kind == LOOKUP else 'POST',
                self._world.url(attempt.node, path),
                headers=headers,
                timeout=ClientTimeout(total=20, sock_read=_MAX_GAP_S),
            ) as response:
                attempt.status = response.status
                retry_after_s = float(response.headers.get('Retry-After', 0))
                await _read(response, attempt)
        attempt.ended_at_s = time.monotonic()
        return retry_after_s


async def _read(response: ClientResponse, attempt: Try) -> None:
    """Read the answer into the try; complete events of a broken one count."""
    received = b''
    is_stream = attempt.kind in STREAMS and attempt.status == 200
    try:
        while chunk := await response.content.readany():
            received += chunk
        attempt.is_whole = attempt.status == 200
    finally:
        if is_stream:
            complete = received.rpartition(b'\n\n')
            received = complete[0] + complete[1]
        attempt.text = received.decode('utf-8', 'replace')
    if is_stream and attempt.is_whole:
        events = attempt.last_event + attempt.text.count('\n\n')
        attempt.is_whole = events == EVENTS


def _may_repeat(attempt: Try) -> bool:
    return attempt.kind in REPEATABLE or attempt.status in PROMISES
