"""Tests of the evidence that relays choose for their states."""

from mallowspindle.sharing.evidence import EvidenceSelection
from mallowspindle.sharing.messages import PartEvidence

# Ids of parts, crashes and clearances that 21 nodes may get 2.9 times a second
# on a quarter of a link of 5 Mbit/s, and those of one more part.
_MAX_IDS = 64 + 2 * 25


def _evidence(
    parts: int, crashes: int = 1, name: str = 'part'
) -> dict[str, PartEvidence]:
    return {
        f'{name}-{number}': PartEvidence(
            {f'i-{crash}@{number}': crash for crash in range(crashes)}, {}
        )
        for number in range(parts)
    }


def _ids(chosen: dict[str, PartEvidence]) -> int:
    return sum(
        1 + len(each.crashes) + len(each.cleared) for each in chosen.values()
    )


def test_all_parts_are_sent_and_no_state_is_large() -> None:
    """Guards against states that fill the link, and parts that are left out."""
    selection = EvidenceSelection()
    evidence = _evidence(128, 4)
    states = [selection.next(evidence) for _ in range(20)]
    assert set().union(*states) == evidence.keys()
    assert max(map(_ids, states)) <= _MAX_IDS


def test_a_part_near_its_refusal_comes_before_many_lost_requests() -> None:
    """Guards against a deadly part that waits behind a mass crash."""
    selection = EvidenceSelection()
    lost = _evidence(256, name='request:lost')
    selection.next(lost)
    deadly = _evidence(1, 3, 'deadly')
    states = [selection.next({**lost, **deadly}) for _ in range(4)]
    assert all('deadly-0' in state for state in states)


def test_old_parts_are_sent_in_rotation_beside_changes() -> None:
    """Guards against nodes that start later and never hear of old parts.

    Parts that had been sent for minutes were not sent again for as long once
    other parts had changed.
    """
    selection = EvidenceSelection()
    old = _evidence(8)
    for _ in range(3000):
        selection.next(old)
    both = {**old, **_evidence(30, 1, 'new')}
    states = [selection.next(both) for _ in range(10)]
    assert set().union(*states) >= old.keys()


def test_a_change_that_was_seen_but_not_sent_is_sent_later() -> None:
    """Guards against counting what was in a sum as sent."""
    selection = EvidenceSelection()
    crowd = _evidence(200, 4, 'deadly')
    part = {'part': PartEvidence({'a': 1, 'b': 2}, {})}
    selection.next(
        {**crowd, 'part': PartEvidence({'a': 1, 'b': 2, 'c': 3}, {})}
    )
    for _ in range(70):
        selection.next(part)
    changed = {'part': PartEvidence({'a': 1, 'b': 2, 'c': 3}, {})}
    old = _evidence(8, 1, 'old')
    states = [selection.next({**old, **changed}) for _ in range(6)]
    assert all('part' in state for state in states)
