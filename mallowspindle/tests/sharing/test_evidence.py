"""Evidence against parts and requests in the sums that relays send."""

from mallowspindle.sharing.aggregation import total
from mallowspindle.sharing.messages import PartEvidence, WorkSum
from mallowspindle.utils.codec import pack

_NODES = 77
_EACH = 20
_KNOWN = 384
_CRASHES = 12
# A relay sends sums to 15 nodes of its zone every 0.35 s, on a link of
# 1.25 MB/s that also carries callers' responses.
_MAX_BYTES = 16_000
_SUMS = 100


def _part(number: int) -> tuple[str, PartEvidence]:
    """Return a part, whose crashes have ids of the usual length."""
    crashes = {
        f'b-{index:05}@{1_700_000_000_000 + number}': 1_700_000_000_000
        for index in range(2 * _CRASHES)
    }
    ids = list(crashes)
    return f'{number:032x}', PartEvidence(
        {crash_id: crashes[crash_id] for crash_id in ids[:_CRASHES]},
        {crash_id: crashes[crash_id] for crash_id in ids[_CRASHES:]},
    )


def _sum(turn: int) -> WorkSum:
    """Return the sum of the states of all nodes, each with parts in turn."""
    return total(
        WorkSum(
            evidence=dict(
                _part((node * 31 + turn * _EACH + step) % _KNOWN)
                for step in range(_EACH)
            )
        )
        for node in range(_NODES)
    )


def test_evidence_does_not_fill_the_link_of_a_relay() -> None:
    """Guards against sums that take more than a link of 10 Mbit/s has."""
    assert len(pack(_sum(0).evidence)) < _MAX_BYTES


def test_all_evidence_is_in_some_of_the_sums() -> None:
    """Guards against parts that a bound always leaves out."""
    shared = {
        part_id for turn in range(_SUMS) for part_id in _sum(turn).evidence
    }
    assert len(shared) == _KNOWN


def test_new_crashes_of_many_requests_are_shared_at_once() -> None:
    """Guards against a bound that delays what nodes must join to refuse."""
    evidence = {
        f'request:{number:024x}': PartEvidence({'b-00001@1': 1}, {})
        for number in range(120)
    }
    assert total([WorkSum(evidence=evidence)]).evidence == evidence
