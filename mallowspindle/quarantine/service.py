"""Refuses prompts with a part that crashes servers, at all nodes."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Self

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.adapter import AdapterService, LogLayout
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.log.errors import LogError
from mallowspindle.log.interface import Log
from mallowspindle.peers.codec import ErrorReply, OkReply
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.quarantine.evidence import EvidenceTable
from mallowspindle.quarantine.messages import (
    QuarantineClear,
    QuarantineList,
    QuarantineQuery,
)
from mallowspindle.quarantine.reachability import accepts_connections
from mallowspindle.quarantine.records import decode_evidence, encode_evidence
from mallowspindle.sharing.messages import PartEvidence, WorkSum
from mallowspindle.sharing.service import SharingService
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
# A server that is lost again after this time has crashed a second time.
_SHORTEST_RESTART_S = 0.5
# Pause between two tries to reach the log, and the number of tries to write to
# it. The log is away for some seconds; meanwhile the peers keep the evidence.
_LOG_PAUSE_S = 1.0
_SAVE_TRIES = 60


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a prompt is refused, and when its part may be tried again."""

    part_id: str
    crashes: int
    retry_after_s: float


@dataclass(slots=True)
class _UnconfirmedCrash:
    """The parts at a server that may have crashed, and the check whether."""

    check: asyncio.Task[None]
    part_ids: set[str] = field(default_factory=set)


class QuarantineStore:
    """The log's record of the parts that are refused.

    A venture whose nodes all restart at the same time reads it.
    """

    def __init__(self, source: Log, layout: LogLayout) -> None:
        self._log = source
        self._layout = layout

    async def load(self) -> dict[str, PartEvidence]:
        """Return the logged evidence; raise ``LogError`` if it fails."""
        state = await self._log.read_latest(self._layout.quarantine_stream)
        return {
            record.key: decode_evidence(record.value)
            for record in state.records
            if record.value is not None
        }

    async def save(self, part_id: str, evidence: PartEvidence) -> None:
        """Log the evidence of a part; raise ``LogError`` if it fails."""
        value = encode_evidence(evidence) if evidence.crashes else b''
        record = self._layout.encode_keyed(part_id, value)
        await self._log.append(self._layout.quarantine_stream, [record])


@service('quarantine', requires=('border', 'sharing'))
class QuarantineService(Service):
    """Collects evidence of crashes and answers, and refuses prompts."""

    def __init__(
        self,
        sharing: SharingService,
        store: QuarantineStore | None = None,
        is_listening: Callable[[str], Awaitable[bool]] = accepts_connections,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._sharing = sharing
        self._store = store
        self._is_listening = is_listening
        self._clock = clock
        self._table = EvidenceTable(clock, unix_clock)
        self._merged: WorkSum | None = None
        self._unconfirmed: dict[str, _UnconfirmedCrash] = {}
        self._tried_at_s: dict[str, float] = {}
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the log of the platform."""
        adapter = kernel.find('border', AdapterService)
        return cls(
            kernel.find('sharing', SharingService),
            QuarantineStore(adapter.log, adapter.layout),
        )

    @property
    def suspects(self) -> Mapping[str, Mapping[str, int]]:
        """The crashes of each part for which prompts may be refused."""
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
        """Return why a prompt is refused now; None if it may be sent.

        A refused part that is due for a trial is tried with this request, if
        this is the node that tries it.
        """
        self._merge_peers()
        part_ids = _shared_parts(request)
        part_id = self._table.find_refused(part_ids)
        if part_id is None or self._begin_trial(part_id):
            return None
        return Refusal(
            part_id,
            len(self._table.suspects[part_id]),
            max(_MIN_RETRY_AFTER_S, self._table.trial_wait_s(part_id)),
        )

    def record_answer(self, request: CallerRequest) -> None:
        """Record that a server outlived its response to a prompt."""
        self._clear(_shared_parts(request), 'own answer')

    async def record_unframed_end(
        self, server: BackendServer, request: CallerRequest
    ) -> None:
        """Record a response whose end looks like that of a crashed server.

        Only if crashes speak against its prompt, it matters which one it was.
        """
        if not self._table.has_crashes(_shared_parts(request)):
            return
        if await self._is_listening(server.address):
            self.record_answer(request)

    async def record_lost(
        self, server: BackendServer, request: CallerRequest
    ) -> None:
        """Record a server that was lost as it began to respond to a prompt.

        It counts as a crash if the server accepts no connection any more. Return
        once this is known, so that a repeat takes it into account.
        """
        part_ids = _shared_parts(request)
        crash_id = f'{server.server_id}@{server.started_at_ms}'
        age_s = self._table.crash_age_s(crash_id)
        if age_s is not None and age_s < _SHORTEST_RESTART_S:
            self._record_crash(crash_id, part_ids)
            return
        if age_s is not None:
            # It has come back, but its new entry is not known here yet.
            crash_id = f'{crash_id}+{int(age_s)}'
        if not part_ids:
            return
        unconfirmed = self._unconfirmed.get(crash_id)
        if unconfirmed is None:
            check = self._tasks.spawn(
                self._confirm_crash(crash_id, server.address), 'crash'
            )
            unconfirmed = _UnconfirmedCrash(check)
            self._unconfirmed[crash_id] = unconfirmed
        unconfirmed.part_ids.update(part_ids)
        # Other requests wait for the same check, and callers may leave.
        await asyncio.wait([unconfirmed.check])

    def _clear(self, part_ids: Iterable[str], source: str) -> bool:
        """Clear parts; return False if nothing speaks against them."""
        suspects = set(self._table.suspects)
        changed = self._table.record_answer(part_ids)
        self._log_changes('part of a prompt cleared', changed, source)
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
            }
        )

    async def _handle_clear(
        self, order: QuarantineClear
    ) -> OkReply | ErrorReply:
        if self._clear([order.part_id], 'operator'):
            return OkReply()
        return ErrorReply(f'nothing speaks against part {order.part_id}')

    async def _confirm_crash(self, crash_id: str, address: str) -> None:
        # A server that still accepts connections has only lost one.
        is_listening = await self._is_listening(address)
        unconfirmed = self._unconfirmed.pop(crash_id)
        if not is_listening:
            self._record_crash(crash_id, unconfirmed.part_ids)

    def _record_crash(self, crash_id: str, part_ids: Iterable[str]) -> None:
        changed = self._table.record_crash(part_ids, crash_id)
        self._log_changes('part of a prompt suspected', changed, 'own crash')
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
                'evidence of peers',
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
        log.info('part of a prompt tried again', extra={'part': part_id})
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
        """Log what is known of a part by the time the log takes it."""
        for _ in range(_SAVE_TRIES):
            crashes = self._table.suspects.get(part_id, {})
            try:
                return await store.save(
                    part_id, PartEvidence(dict(crashes), {})
                )
            except LogError as error:
                log.info(
                    'quarantine not logged',
                    extra={'part': part_id, 'error': str(error)},
                )
            await asyncio.sleep(_LOG_PAUSE_S)

    async def _load(self) -> None:
        """Read the logged evidence as soon as the log is reached."""
        if self._store is None:
            return
        while True:
            try:
                evidence = await self._store.load()
            except LogError as error:
                log.info('quarantine not read', extra={'error': str(error)})
                await asyncio.sleep(_LOG_PAUSE_S)
                continue
            changed = self._table.merge(evidence)
            self._log_changes('part of a prompt suspected', changed, 'log')
            return

    def _log_changes(
        self, message: str, changed: Mapping[str, PartEvidence], source: str
    ) -> None:
        suspects = self._table.suspects
        for part_id, evidence in changed.items():
            log.info(
                message,
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
