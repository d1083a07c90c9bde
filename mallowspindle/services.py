"""Imports the modules whose services make up the daemon."""

from mallowspindle.attempts.service import AttemptsService
from mallowspindle.effects.service import EffectsService
from mallowspindle.entry.service import EntryService
from mallowspindle.ledger.service import LedgerService
from mallowspindle.membership.service import MembershipService
from mallowspindle.platform.service import PlatformService
from mallowspindle.recovery.service import RecoveryService
from mallowspindle.routing.directory import DirectoryService
from mallowspindle.routing.router import RouterService
from mallowspindle.settings.service import SettingsService

DAEMON_SERVICES = (
    PlatformService,
    MembershipService,
    SettingsService,
    DirectoryService,
    RouterService,
    LedgerService,
    RecoveryService,
    AttemptsService,
    EffectsService,
    EntryService,
)
