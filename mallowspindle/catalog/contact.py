"""Notes when this node can't know which configuration is in force."""

import asyncio
import logging
import random

from mallowspindle.catalog.keeping import StreamSynchronizer
from mallowspindle.policies.contact import Contact, ContactWatch
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.clock import boot_clock_s
from mallowspindle.utils.tasks import BackgroundTasks, wait_for_event

log = logging.getLogger(__name__)

_TICK_S = 0.05
# A node that is cut off asks so many peers this often, so that it serves again
# soon after its paths are back.
_ASKED_PEERS = 2
_ASK_INTERVAL_S = 0.3
# Below this age of the configuration no bound is near, and the links of all
# peers need not be looked at; the store is read for all nodes every 0.5 s.
_CERTAIN_FOR_S = 0.8
# Requests wait this long after the node has found that it is cut off: one that
# wakes from a freeze reads the store, or hears a peer, in this time.
_WAIT_S = 0.25


class ConfigurationContact:
    """Watches what store and peers tell this node of the configuration."""

    def __init__(
        self,
        apply_s: float | None,
        synchronizer: StreamSynchronizer,
        sharing: SharingService,
    ) -> None:
        self._apply_s = apply_s
        self._watch = ContactWatch(apply_s)
        self._synchronizer = synchronizer
        self._sharing = sharing
        # On the boot clock; None while this node is not cut off.
        self._cut_off_at_s: float | None = None
        # When the newest call that a peer has answered was sent. Found out by
        # ``run`` rather than for each request, since it asks all links.
        self._peer_answer_at_s = 0.0
        self._in_touch = asyncio.Event()
        self._queries = BackgroundTasks()

    @property
    def is_cut_off(self) -> bool:
        """Whether this node can't know which configuration is in force."""
        if self._apply_s is None:
            return False
        contact = self._contact()
        is_cut_off = self._watch.update(contact)
        if is_cut_off and self._cut_off_at_s is None:
            self._cut_off_at_s = boot_clock_s()
            self._in_touch.clear()
            log.warning(
                'cut off from store and peers, requests are refused',
                extra=_fields(contact),
            )
        elif not is_cut_off and self._cut_off_at_s is not None:
            refused_s = boot_clock_s() - self._cut_off_at_s
            self._cut_off_at_s = None
            self._in_touch.set()
            log.warning(
                'in touch with store or peers again',
                extra={'after_s': round(refused_s, 2), **_fields(contact)},
            )
        return is_cut_off

    async def regain(self) -> bool:
        """Wait a short time if just cut off; return whether that has ended."""
        if self.is_cut_off and self._cut_off_at_s is not None:
            waited_s = boot_clock_s() - self._cut_off_at_s
            if waited_s < _WAIT_S:
                await wait_for_event(self._in_touch, _WAIT_S - waited_s)
        return not self.is_cut_off

    async def run(self) -> None:
        """Watch until cancelled, and ask peers while this node is cut off."""
        next_query_s = 0.0
        while self._apply_s is not None:
            age_s = self._synchronizer.follower.certain_age_s
            if age_s >= self._apply_s / 2:
                # Before, the answers of peers make no difference.
                self._note_answers()
            now_s = boot_clock_s()
            if self.is_cut_off and now_s >= next_query_s:
                next_query_s = now_s + _ASK_INTERVAL_S
                self._ask_peers()
            await asyncio.sleep(_TICK_S)

    async def stop(self) -> None:
        """Cancel running queries."""
        await self._queries.cancel()

    def _note_answers(self) -> None:
        if self._synchronizer.follower.certain_age_s < _CERTAIN_FOR_S:
            # The answers of peers make no difference yet.
            return
        membership = self._sharing.membership
        self._peer_answer_at_s = max(
            (
                membership.link(member.info).answered_call_at_s
                for member in membership.table.known()
            ),
            default=0,
        )

    def _ask_peers(self) -> None:
        """Ask some of the peers, also those that are taken for lost."""
        known = [
            member.info
            for member in self._sharing.membership.table.known()
            if not member.info.leaving
        ]
        for info in random.sample(known, min(_ASKED_PEERS, len(known))):
            self._queries.spawn(
                self._synchronizer.ask(info), 'query a peer while cut off'
            )

    def _contact(self) -> Contact:
        now_s = boot_clock_s()
        return Contact(
            certain_age_s=self._synchronizer.follower.certain_age_s,
            peer_silence_s=now_s - self._peer_answer_at_s,
            outage_told_s=now_s - self._synchronizer.outage_told_at_s,
            knows_peers=len(self._sharing.membership.table) > 0,
        )


def _fields(contact: Contact) -> dict[str, float]:
    return {
        'certain_age_s': round(contact.certain_age_s, 2),
        'peer_silence_s': round(contact.peer_silence_s, 2),
        'outage_told_s': round(contact.outage_told_s, 2),
    }
