"""What is known of a rollout at one moment, for its decision."""

import time
from collections.abc import Callable
from itertools import chain

from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.policies.rollout import (
    Decision,
    RolloutTerms,
    Situation,
)
from mallowspindle.policies.versions import VersionJudge
from mallowspindle.rollouts.accounts import RolloutAccounts
from mallowspindle.rollouts.counting import cells_of
from mallowspindle.rollouts.records import RolloutState
from mallowspindle.sharing.messages import RolloutSum
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.identifiers import rendezvous_order

# Time after the begin of a phase from which the states of all nodes are as of
# that phase.
_SPREAD_S = 1.2
_MIN_UNREACHED_NODES = 2
# Fraction of the nodes whose states are known; lost ones stay listed for a while.
_MIN_REPORTING = 0.9
_MS = 1000
_NOTHING = RolloutSum(0, {}, {}, {}, [0, 0])


class RolloutObserver:
    """Counts, servers and times of the rollouts that one node decides."""

    def __init__(
        self,
        accounts: RolloutAccounts,
        catalog: CatalogService,
        sharing: SharingService,
        terms: RolloutTerms,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._accounts = accounts
        self._catalog = catalog
        self._sharing = sharing
        self._terms = terms
        self._clock = clock
        # With the position of the order that is judged.
        self._judges: dict[str, tuple[int, VersionJudge]] = {}
        self._phase_began_s: dict[str, float] = {}

    @property
    def terms(self) -> RolloutTerms:
        """What is tolerated of a bad version."""
        return self._terms

    def now_s(self) -> float:
        """Return the Unix time that the nodes agree on."""
        return self._sharing.membership.clock.now_s()

    def note_phase(self, service: str) -> None:
        """Record that a rollout is in another phase from now on."""
        self._phase_began_s[service] = self._clock()

    def canary_servers(
        self, state: RolloutState, decision: Decision
    ) -> list[str] | None:
        """Return the servers of a canary: warm ones that nodes reach first."""
        if decision.servers is None:
            return None
        unreached = self._unreached()
        new = {
            server.server_id: server
            for server in self.servers(state.service)
            if server.software_version == state.target
        }
        ordered = rendezvous_order(f'{state.position}', new)
        ordered.sort(
            key=lambda name: (name in unreached, new[name].cold_remaining_s > 0)
        )
        return ordered[: decision.servers]

    def _unreached(self) -> set[str]:
        counts = self._sharing.peer_work().unreachable.values()
        found = chain.from_iterable(part.items() for part in counts)
        return {name for name, nodes in found if nodes >= _MIN_UNREACHED_NODES}

    def servers(self, name: str) -> list[BackendServer]:
        """Return the servers of a service that are not leaving."""
        return [
            server
            for server in self._catalog.servers.values()
            if server.service == name and not server.draining
        ]

    def situation(self, state: RolloutState) -> Situation:
        """Return what is known of a rollout now."""
        name = state.service
        counted = self._accounts.counted(name) or _NOTHING
        judge = self._judge(state)
        judge.note(
            self._clock(),
            cells_of(counted, state.target.__eq__),
            cells_of(counted, state.target.__ne__),
        )
        found = judge.finding()
        versions = [server.software_version for server in self.servers(name)]
        now_s = self.now_s()
        sent = sum(counted.sent.values())
        sent_new = counted.sent.get(state.target, 0)
        return Situation(
            elapsed_s=now_s - state.started_at_s,
            duration_s=state.duration_s,
            phase=state.phase,
            has_servers=state.target in versions,
            old_servers=sum(
                version != state.target and version not in state.barred
                for version in versions
            ),
            responses=judge.responses,
            suspicion=found.suspicion,
            finding=found.reason,
            longest_s=counted.longest_ms[0] / _MS,
            longest_stream_s=counted.longest_ms[1] / _MS,
            old_running=self._old_running(state, counted),
            is_trusted=state.is_trusted,
            is_exposed=self._terms.is_exposed(sent_new, sent),
        )

    def _judge(self, state: RolloutState) -> VersionJudge:
        position, judge = self._judges.get(state.service, (None, None))
        if judge is None or position != state.position:
            judge = VersionJudge()
            self._judges[state.service] = state.position, judge
        return judge

    def _old_running(
        self, state: RolloutState, counted: RolloutSum
    ) -> int | None:
        """Return the requests at old servers, None if it is not certain."""
        began_s = self._phase_began_s.get(state.service)
        if began_s is None or self._clock() - began_s < _SPREAD_S:
            return None
        if self._sharing.reporting_fraction() < _MIN_REPORTING:
            return None
        return sum(
            running
            for version, running in counted.running.items()
            if version != state.target
        )
