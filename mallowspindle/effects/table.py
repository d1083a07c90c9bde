"""State of the keys of an effects stream: winning claims and outcomes."""

from dataclasses import dataclass, field

from mallowspindle.effects.records import (
    CallKey,
    CallOutcome,
    Claim,
    EffectsRecord,
    Release,
    Resolution,
)


@dataclass(slots=True)
class KeyState:
    """The state of one key.

    ``logged_at_s`` is the log's time of the last claim or outcome that took
    effect, or of the first record before that.
    """

    logged_at_s: float
    winning_claim: Claim | None = None
    outcome: CallOutcome | None = None
    resolution: Resolution | None = None
    released: set[str] = field(default_factory=set)

    @property
    def unresolved(self) -> bool:
        """Whether the call was claimed and its outcome is not known."""
        if self.resolution is not None or self.winning_claim is None:
            return False
        return self.outcome is None or bool(self.outcome.unknown)


class KeyTable:
    """The state of all keys, the same on every node that folds the stream.

    The first claim by offset wins. If the winner is released, the first claim
    after the release wins. A released claim has no effect from then on. A
    resolved key is remembered until ``window_s`` seconds, by the log's time,
    after the last claim or outcome that took effect.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._states: dict[CallKey, KeyState] = {}
        self._latest_logged_at_s: float = 0

    @property
    def latest_logged_at_s(self) -> float:
        """The log's time of its newest record that was read, 0 for none."""
        return self._latest_logged_at_s

    def __len__(self) -> int:
        return len(self._states)

    def state(self, key: CallKey) -> KeyState | None:
        """Return the state of a key, or None if it is not known."""
        return self._states.get(key)

    def wins(self, claim: Claim) -> bool:
        """Tell whether the claim has the right to run the call."""
        state = self._states.get(claim.key)
        if (
            state is None
            or state.winning_claim is None
            or state.outcome is not None
        ):
            return False
        return state.winning_claim.claim_id == claim.claim_id

    def unresolved(self) -> list[KeyState]:
        """Return the states of the keys whose outcome is not known."""
        return [state for state in self._states.values() if state.unresolved]

    def fold(self, logged_at_s: float, record: EffectsRecord) -> None:
        """Fold one record, in the order of the stream."""
        self._latest_logged_at_s = max(self._latest_logged_at_s, logged_at_s)
        state = self._current_state(logged_at_s, record)
        match record:
            case Claim():
                _fold_claim(state, record, logged_at_s)
            case Release():
                _fold_release(state, record)
            case CallOutcome():
                _fold_outcome(state, record, logged_at_s)
            case Resolution():
                if state.unresolved:
                    state.resolution = record

    def purge(self) -> None:
        """Remove resolved keys whose window has passed."""
        cutoff_s = self._latest_logged_at_s - self._window_s
        self._states = {
            key: state
            for key, state in self._states.items()
            if state.unresolved or state.logged_at_s >= cutoff_s
        }

    def _current_state(
        self, logged_at_s: float, record: EffectsRecord
    ) -> KeyState:
        state = self._states.get(record.key)
        if state is None or self._expired(state, record, logged_at_s):
            state = KeyState(logged_at_s)
            self._states[record.key] = state
        return state

    def _expired(
        self, state: KeyState, record: EffectsRecord, logged_at_s: float
    ) -> bool:
        """Tell whether a new claim resets a resolved key after its window."""
        if not isinstance(record, Claim) or record.carried:
            return False
        if state.unresolved:
            return False
        return logged_at_s - state.logged_at_s > self._window_s


def _fold_claim(state: KeyState, claim: Claim, logged_at_s: float) -> None:
    if claim.claim_id in state.released:
        return
    if state.winning_claim is None and state.outcome is None:
        state.winning_claim = claim
        state.logged_at_s = logged_at_s
    elif state.winning_claim and state.winning_claim.claim_id == claim.claim_id:
        state.logged_at_s = logged_at_s


def _fold_release(state: KeyState, release: Release) -> None:
    state.released.add(release.claim_id)
    winning_claim = state.winning_claim
    if winning_claim is None or state.outcome is not None:
        return
    if winning_claim.claim_id == release.claim_id:
        state.winning_claim = None


def _fold_outcome(
    state: KeyState, outcome: CallOutcome, logged_at_s: float
) -> None:
    winning_claim = state.winning_claim
    if state.outcome is not None or outcome.claim_id in state.released:
        return
    if winning_claim is None or winning_claim.claim_id == outcome.claim_id:
        state.outcome = outcome
        state.logged_at_s = logged_at_s
