"""Refuses requests and parts of prompts that crash servers, at all nodes."""

import asyncio
import logging
import time
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Mapping,
)
from dataclasses import dataclass, field
from typing import Self

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.adapter import AdapterService
from mallowspindle.catalog.servers import BackendServer, other_servers
from mallowspindle.catalog.service import CatalogService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.peers.codec import ErrorReply, OkReply
from mallowspindle.policies.quarantine import Crashes, is_request
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.quarantine.evidence import EvidenceTable
from mallowspindle.quarantine.messages import (
    QuarantineClear,
    QuarantineList,
    QuarantineQuery,
)
from mallowspindle.quarantine.store import (
    QuarantineStore,
    load_when_reached,
    save_when_reached,
)
from mallowspindle.sharing.messages import PartEvidence, WorkSum
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.connections import accepts_connections
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Number of parts of one prompt that count, so that a caller can't fill the
# table of parts with one request.
_MAX_PROMPT_PARTS = 16
# Longest time that a trial of a refused part may take. It is the longest
# timeout of a route.
_TRIAL_TIMEOUT_S = 15.0
# Shortest time after which a refused request may come back: it would be refused
# again in the moment in which callers usually retry.
_MIN_RETRY_AFTER_S = 10.0
_MAX_DESCRIPTIONS = 256
# A server that is lost again after this time has crashed a second time.
_SHORTEST_RESTART_S = 0.5
# How long a lost request waits for the check whether its server has crashed.
# It is short for a crash; a server that does not respond at all takes longer.
_CHECK_WAIT_S = 0.2


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and when it may be tried again.

    ``suspect_id`` is the fingerprint of the request or a part of its prompt.
    """

    suspect_id: str
    crashes: int
    retry_after_s: float

    @property
    def reason(self) -> str:
        """Why the request is refused, for operators."""
        subject = (
            'the request'
            if is_request(self.suspect_id)
            else f'part {self.suspect_id} of the prompt'
        )
        return f'{subject} has crashed servers ({self.crashes} crashes)'


@dataclass(slots=True)
class _UnconfirmedCrash:
    """What was at a server that may have crashed, and the check whether."""

    check: asyncio.Task[None]
    suspect_ids: set[str] = field(default_factory=set)


@service('quarantine', requires=('border', 'catalog', 'sharing'))
class QuarantineService(Service):
    """Collects evidence of crashes and answers, and refuses requests.

    ``find_others`` returns the addresses of other servers, of which a node that
    is not disconnected reaches one.
    """

    def __init__(
        self,
        sharing: SharingService,
        store: QuarantineStore | None = None,
        is_listening: Callable[[str], Awaitable[bool]] = accepts_connections,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] | None = None,
        find_others: Callable[[str], Collection[str]] | None = None,
    ) -> None:
        self._find_others = find_others
        self._descriptions: dict[str, str] = {}
        self._sharing = sharing
        self._store = store
        self._is_listening = is_listening
        self._clock = clock
        self._table = EvidenceTable(
            clock, unix_clock or sharing.membership.clock.now_s
        )
        self._merged: WorkSum | None = None
        self._unconfirmed: dict[str, _UnconfirmedCrash] = {}
        self._tried_at_s: dict[str, float] = {}
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the log of the platform."""
        adapter = kernel.find('border', AdapterService)
        catalog = kernel.find('catalog', CatalogService)
        return cls(
            kernel.find('sharing', SharingService),
            QuarantineStore(adapter.log, adapter.layout),
            find_others=lambda address: other_servers(
                catalog.servers.values(), address
            ),
        )

    @property
    def suspects(self) -> Mapping[str, Mapping[str, int]]:
        """The crashes of each part and request that may be refused."""
        return self._table.suspects

    async def start(self) -> None:
        """Exchange evidence with peers and read what is logged."""
        self._sharing.register_work_source(self._own_work)
        meter.create_observable_gauge('quarantined_parts', [self._observe])
        server = self._sharing.membership.server
        server.handle(QuarantineQuery, self._answer_query)
        server.handle(QuarantineClear, self._handle_clear)
        self._tasks.spawn(self._load(), 'quarantine')

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.cancel()

    def find_refusal(self, request: CallerRequest) -> Refusal | None:
        """Return why a request is refused now; None if it may be sent.

        What is refused but due for a trial is tried with this request, if this
        is the node that tries it.
        """
        self._merge_peers()
        suspect_id = self._table.find_refused(_shared_parts(request))
        if suspect_id is None and self._table.has_suspect_requests:
            suspect_id = self._table.find_refused_request(request.fingerprint)
        if suspect_id is None or self._begin_trial(suspect_id):
            return None
        return Refusal(
            suspect_id,
            len(self._table.suspects[suspect_id]),
            max(_MIN_RETRY_AFTER_S, self._table.trial_wait_s(suspect_id)),
        )

    def record_answer(self, request: CallerRequest) -> None:
        """Record that a server outlived its response to a request."""
        self._clear(self._known_ids(request), 'own answer')

    async def record_unframed_end(
        self, server: BackendServer, request: CallerRequest
    ) -> None:
        """Record a response whose end looks like that of a crashed server.

        Only if crashes speak against its request, it matters which one it was.
        """
        if not self._table.has_crashes(self._known_ids(request)):
            return
        if await self._is_listening(server.address):
            self.record_answer(request)

    async def record_lost(
        self,
        server: BackendServer,
        request: CallerRequest,
        *,
        responding: bool = True,
    ) -> None:
        """Record a server that was lost before it had answered a request.

        It counts as a crash if the server accepts no connection any more, and
        another one does. Parts of the prompt are suspect only if the server had
        begun to respond. Return once this is known, so that a repeat takes it
        into account, or after a short time.
        """
        suspect_ids = _shared_parts(request) if responding else []
        if not server.draining:
            suspect_ids.append(request.fingerprint)
            self._describe(request)
        crash_id = f'{server.server_id}@{server.started_at_ms}'
        age_s = self._table.crash_age_s(crash_id)
        if age_s is not None and age_s < _SHORTEST_RESTART_S:
            self._record_crash(crash_id, suspect_ids)
            return
        if age_s is not None:
            # It has come back, but its new entry is not known here yet.
            crash_id = f'{crash_id}+{int(age_s)}'
        if not suspect_ids:
            return
        unconfirmed = self._unconfirmed.get(crash_id)
        if unconfirmed is None:
            check = self._tasks.spawn(
                self._confirm_crash(crash_id, server.address), 'crash'
            )
            unconfirmed = _UnconfirmedCrash(check)
            self._unconfirmed[crash_id] = unconfirmed
        unconfirmed.suspect_ids.update(suspect_ids)
        # Other requests wait for the same check, and callers may leave.
        await asyncio.wait([unconfirmed.check], timeout=_CHECK_WAIT_S)

    def _known_ids(self, request: CallerRequest) -> list[str]:
        """Return what there may be evidence against; digests cost time."""
        known_ids = _shared_parts(request)
        if self._table.has_requests:
            known_ids.append(request.fingerprint)
        return known_ids

    def _describe(self, request: CallerRequest) -> None:
        """Keep what operators know a request by, for some of the last ones."""
        self._descriptions[request.fingerprint] = (
            f'{request.method} {request.path} of {request.organisation}'
        )
        while len(self._descriptions) > _MAX_DESCRIPTIONS:
            self._descriptions.pop(next(iter(self._descriptions)))

    def _clear(self, part_ids: Iterable[str], source: str) -> bool:
        """Clear parts; return False if nothing speaks against them."""
        suspects = set(self._table.suspects)
        changed = self._table.record_answer(part_ids)
        self._log_changes('cleared', changed, source)
        if changed:
            self._sharing.send_soon()
        for part_id in suspects & changed.keys():
            self._save(part_id)
        return bool(changed)

    async def _answer_query(self, query: QuarantineQuery) -> QuarantineList:
        return QuarantineList(
            {
                part_id: dict(crashes)
                for part_id, crashes in self._table.suspects.items()
            },
            {
                suspect_id: self._descriptions[suspect_id]
                for suspect_id in self._table.suspects
                if suspect_id in self._descriptions
            },
        )

    async def _handle_clear(
        self, order: QuarantineClear
    ) -> OkReply | ErrorReply:
        explained = self._table.explained_by(order.part_id)
        if self._clear([order.part_id, *explained], 'operator'):
            return OkReply()
        return ErrorReply(f'nothing speaks against part {order.part_id}')

    async def _confirm_crash(self, crash_id: str, address: str) -> None:
        # A server that still accepts connections has only lost one.
        has_crashed = not await self._is_listening(address)
        if has_crashed:
            has_crashed = await self._is_connected(address)
        unconfirmed = self._unconfirmed.pop(crash_id)
        if has_crashed:
            self._record_crash(crash_id, unconfirmed.suspect_ids)

    async def _is_connected(self, lost_address: str) -> bool:
        """Return whether this node reaches another server than a lost one.

        A node that is cut off from the servers loses its requests at all of
        them, which says nothing about the requests.
        """
        others = self._find_others(lost_address) if self._find_others else ()
        if not others:
            return True
        found = await asyncio.gather(*map(self._is_listening, others))
        if not any(found):
            log.info(
                'lost server is no evidence, no other one is reached',
                extra={'address': lost_address, 'others': list(others)},
            )
        return any(found)

    def _record_crash(self, crash_id: str, part_ids: Iterable[str]) -> None:
        changed = self._table.record_crash(part_ids, crash_id)
        self._log_changes('suspected', changed, 'own crash')
        if changed:
            self._sharing.send_soon()
            for part_id in self._table.suspects.keys() & changed.keys():
                self._save(part_id)

    def _merge_peers(self) -> None:
        work = self._sharing.peer_work()
        if work is self._merged:
            return
        self._merged = work
        if work.evidence:
            before = set(self._table.suspects)
            changed = self._table.merge(work.evidence)
            refused = before ^ self._table.suspects.keys()
            self._log_changes(
                'suspected by peers',
                {
                    part_id: changed[part_id]
                    for part_id in refused & changed.keys()
                },
                'peers',
            )

    def _begin_trial(self, part_id: str) -> bool:
        if not self._table.is_trial_due(part_id):
            return False
        now_s = self._clock()
        tried_at_s = self._tried_at_s.get(part_id)
        if tried_at_s is not None and now_s - tried_at_s < _TRIAL_TIMEOUT_S:
            return False
        members = [self._sharing.membership.own, *self._sharing.peers()]
        names = [member.name for member in members if not member.leaving]
        own_name = self._sharing.membership.own.name
        if rendezvous_order(f'quarantine {part_id}', names)[:1] != [own_name]:
            return False
        self._tried_at_s[part_id] = now_s
        log.info('%s tried again', _noun(part_id), extra={'part': part_id})
        return True

    def _own_work(self) -> WorkSum:
        self._merge_peers()
        return WorkSum(evidence=self._table.shared())

    def _save(self, part_id: str) -> None:
        if self._store is not None:
            self._tasks.spawn(
                self._save_to(self._store, part_id), 'quarantine record'
            )

    async def _save_to(self, store: QuarantineStore, part_id: str) -> None:
        def known_crashes() -> Crashes:
            return self._table.suspects.get(part_id, {})

        await save_when_reached(store, part_id, known_crashes)

    async def _load(self) -> None:
        """Read the logged evidence as soon as the log is reached."""
        if self._store is not None:
            evidence = await load_when_reached(self._store)
            changed = self._table.merge(evidence)
            self._log_changes('suspected', changed, 'log')

    def _log_changes(
        self, change: str, changed: Mapping[str, PartEvidence], source: str
    ) -> None:
        suspects = self._table.suspects
        for part_id, evidence in changed.items():
            log.info(
                '%s %s',
                _noun(part_id),
                change,
                extra={
                    'part': part_id,
                    'crashes': sorted(evidence.crashes),
                    'cleared': len(evidence.cleared),
                    'refused': part_id in suspects,
                    'source': source,
                },
            )

    def _observe(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(len(self._table.suspects))]


def _shared_parts(request: CallerRequest) -> list[str]:
    """Return the parts of a prompt that other prompts may have too."""
    shared = [part.part_id for part in request.prompt[:-1]]
    return shared[:_MAX_PROMPT_PARTS]


def _noun(suspect_id: str) -> str:
    return 'request' if is_request(suspect_id) else 'part of a prompt'
