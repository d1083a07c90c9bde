"""Decision that a node can't know which configuration is in force."""

from dataclasses import replace

import pytest

from mallowspindle.policies.contact import Contact, ContactWatch

_APPLY_S = 2.0
_LONG_S = 100.0
IN_TOUCH = Contact(0.4, 0.2, _LONG_S, knows_peers=True)
SILENT = Contact(2.0, 1.6, _LONG_S, knows_peers=True)


def _watch(*contacts: Contact) -> bool:
    """Return whether a node is cut off after what it has heard."""
    watch = ContactWatch(_APPLY_S)
    return [watch.update(contact) for contact in contacts][-1]


def test_node_that_hears_nothing_is_cut_off_at_the_bound() -> None:
    """Guards against requests handled by a version older than the bound.

    At the last contact the configuration is up to half of the bound old.
    """
    for age_at_contact_s in (0, 0.5, 1.0):
        silence_s = _APPLY_S - age_at_contact_s
        contact = Contact(_APPLY_S, silence_s, _LONG_S, knows_peers=True)
        assert _watch(IN_TOUCH, contact)
        before = replace(contact, certain_age_s=_APPLY_S - 0.01)
        assert not _watch(IN_TOUCH, before)


@pytest.mark.parametrize(
    'contact',
    [
        # The store is down for all, and peers answer, or were silent shortly.
        Contact(60, 0.4, 0.9, knows_peers=True),
        Contact(60, 1.9, 1.9, knows_peers=True),
        # The peers of a busy node answer late.
        Contact(2.5, 0.9, _LONG_S, knows_peers=True),
        # Peers are silent, the store is not.
        Contact(0.5, _LONG_S, _LONG_S, knows_peers=True),
        # It has never had a peer.
        Contact(60, _LONG_S, _LONG_S, knows_peers=False),
    ],
)
def test_node_that_hears_store_or_peers_serves(contact: Contact) -> None:
    """Guards against refusals by nodes that can know what is in force."""
    assert not _watch(contact)


def test_peers_that_are_forgotten_still_count() -> None:
    """Guards against a cut node that serves again after a minute."""
    forgotten = Contact(70, _LONG_S, _LONG_S, knows_peers=False)
    assert _watch(IN_TOUCH, SILENT, forgotten)


def test_answer_of_a_peer_alone_does_not_end_it() -> None:
    """Guards against requests between the first answer and its news."""
    answered = replace(SILENT, peer_silence_s=0.1)
    assert _watch(SILENT, answered)
    assert not _watch(SILENT, answered, IN_TOUCH)


def test_it_ends_when_a_peer_says_that_the_store_is_down() -> None:
    """Guards against nodes that wait for a store that is down for all."""
    told = replace(SILENT, peer_silence_s=0.1, outage_told_s=0.1)
    assert not _watch(SILENT, told)
    assert not _watch(SILENT, told, replace(told, outage_told_s=2.9))


def test_what_a_peer_has_told_of_an_outage_ends() -> None:
    """Guards against a node that is cut off during an outage and after it."""
    told = replace(SILENT, peer_silence_s=2.0, outage_told_s=2.9)
    assert not _watch(told)
    assert _watch(told, replace(told, outage_told_s=3.0))


def test_without_a_bound_no_node_is_cut_off() -> None:
    """Guards against an effect in deployments without the bound."""
    assert not ContactWatch(None).update(SILENT)
