"""Services and checks shared by the HTTP handlers."""

from dataclasses import dataclass

from aiohttp.web import Request

from mallowspindle.attempts.service import AttemptsService
from mallowspindle.config.native import NativeSettings
from mallowspindle.effects.service import EffectsService
from mallowspindle.entry.addresses import addresses_for
from mallowspindle.entry.limits import OrganisationLimits
from mallowspindle.entry.problems import ProblemError
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.ledger.service import LedgerService
from mallowspindle.membership.service import MembershipService
from mallowspindle.outcomes import NotRun
from mallowspindle.recovery.service import RecoveryService
from mallowspindle.routing.directory import DirectoryService
from mallowspindle.settings.documents import Organisation
from mallowspindle.settings.service import SettingsService

_UNAUTHORIZED = 401
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_BEARER = 'Bearer '
_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class EntryContext:
    """The services that the HTTP handlers use."""

    config: NativeSettings
    membership: MembershipService
    settings: SettingsService
    directory: DirectoryService
    attempts: AttemptsService
    recovery: RecoveryService
    effects: EffectsService
    ledger: LedgerService
    limits: OrganisationLimits

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> 'EntryContext':
        """Construct the context from the services of the kernel."""
        membership = kernel.find('membership', MembershipService)
        return cls(
            config=kernel.settings(NativeSettings),
            membership=membership,
            settings=kernel.find('settings', SettingsService),
            directory=kernel.find('directory', DirectoryService),
            attempts=kernel.find('attempts', AttemptsService),
            recovery=kernel.find('recovery', RecoveryService),
            effects=kernel.find('effects', EffectsService),
            ledger=kernel.find('ledger', LedgerService),
            limits=OrganisationLimits(membership.own.name, membership.usage),
        )

    def organisation(self, request: Request) -> Organisation:
        """Return the organisation that the request's token belongs to.

        Raise a 401 problem for an unknown token, or a 503 problem while the
        settings in force are not known.
        """
        header = request.headers.get('Authorization', '')
        documents = self.settings.tree.documents
        found = None
        if header.startswith(_BEARER):
            found = documents.organisation_of_token(
                header.removeprefix(_BEARER)
            )
        if found is not None:
            return found
        self._ensure_settings_fresh()
        raise ProblemError(
            _UNAUTHORIZED, 'unauthorized', 'the token is not known'
        )

    def ensure_accepting(self) -> None:
        """Raise a 503 problem while this node accepts no new requests."""
        if self.membership.own.leaving:
            raise self.not_run_problem(
                NotRun('this entry VM is leaving', _RETRY_AFTER_S)
            )
        self._ensure_settings_fresh()

    def _ensure_settings_fresh(self) -> None:
        """Raise a 503 problem while the settings in force are not known."""
        if not self.settings.is_current:
            raise self.not_run_problem(
                NotRun('the settings in force are not known', _RETRY_AFTER_S)
            )

    def ensure_within_limits(self, organisation: Organisation) -> None:
        """Raise a 429 problem if the organisation has reached a limit."""
        live = {info.name for info in self.membership.table.live()}
        refusal = self.limits.refusal(organisation, live)
        if refusal is not None:
            raise ProblemError(
                _TOO_MANY_REQUESTS,
                'not-run',
                refusal.reason,
                refusal.retry_after_s,
            )

    def not_run_problem(self, outcome: NotRun) -> ProblemError:
        """Return a 503 problem with the addresses of other entry VMs."""
        return ProblemError(
            _UNAVAILABLE,
            'not-run',
            outcome.reason,
            outcome.retry_after_s,
            self.other_addresses(),
        )

    def other_addresses(self) -> tuple[str, ...]:
        """Return the addresses of other entry VMs."""
        own = self.membership.own
        listed = addresses_for(own.zone, own, self.membership.table.live())
        return tuple(name for name in listed if name != own.http_address)
