"""The lease has one holder at a time despite pauses and lost answers."""

import pytest

from mallowspindle.duties.lease import Lease
from mallowspindle.duties.ledger import DutyState
from mallowspindle.duties.records import (
    Claim,
    Renewal,
    UsageReport,
    WrittenIn,
)
from mallowspindle.log.errors import AppendUncertain, LogError
from mallowspindle.tests.catalog.fakes import FakeLog
from mallowspindle.tests.clock import FakeClock
from mallowspindle.utils.clock import SharedClock

LEASE_S = 3.0


def _lease(log: FakeLog, name: str, clock: FakeClock) -> Lease:
    return Lease(log, name, 1, LEASE_S, clock)


async def test_the_first_claim_wins() -> None:
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    assert await one.claim()
    assert not await two.claim()
    assert one.valid_tenure is not None
    assert two.valid_tenure is None


async def test_a_claim_waits_until_the_lease_expires() -> None:
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    await two.catch_up()
    clock.advance(LEASE_S)
    assert not two.may_claim(0)
    clock.advance(0.5)
    assert two.may_claim(0)
    assert not two.may_claim(1)
    assert await two.claim()
    assert two.valid_tenure is not None


async def test_a_renewal_reported_by_a_peer_delays_claims() -> None:
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    await two.catch_up()
    assert one.valid_tenure is not None
    number = one.valid_tenure.fencing_number
    clock.advance(LEASE_S)
    two.note_renewal(number, 0.2)
    clock.advance(1)
    assert not two.may_claim(0)


async def test_only_the_holder_reports_its_renewal() -> None:
    """A restarted node must not delay the takeover from a frozen holder.

    It has read the holder's old records, but does not know their age.
    """
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    await two.catch_up()
    clock.advance(LEASE_S - 1)
    restarted = _lease(log, 'three', clock)
    await restarted.catch_up()
    assert restarted.news() is None
    news = one.news()
    assert news is not None
    assert news.age_s == pytest.approx(LEASE_S - 1)
    two.note_renewal(news.fencing_number, news.age_s)
    clock.advance(1.5)
    assert two.may_claim(0)


async def test_a_release_reported_by_a_peer_frees_the_lease() -> None:
    """At a planned stop no peer may have read the release record yet."""
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    await two.catch_up()
    await one.release()
    clock.advance(0.5)
    assert not two.may_claim(0)
    news = one.news()
    assert news is not None
    assert news.released
    two.note_released(news.fencing_number)
    assert two.may_claim(0)
    assert await two.claim()


async def test_a_restarted_holder_claims_at_once() -> None:
    """After all nodes were killed no other node can hold the lease."""
    log, clock = FakeLog(), FakeClock()
    one = _lease(log, 'one', clock)
    await one.claim()
    restarted = Lease(log, 'one', 2, LEASE_S, clock)
    await restarted.catch_up()
    assert restarted.may_claim(0)
    assert await restarted.claim()


async def test_peers_take_over_from_a_holder_that_was_restarted() -> None:
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    await two.catch_up()
    clock.advance(0.5)
    two.note_incarnation('one', 1)
    assert not two.may_claim(0)
    two.note_incarnation('one', 2)
    assert two.may_claim(0)


async def test_an_earlier_release_does_not_free_a_later_claim() -> None:
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    await one.release()
    news = one.news()
    assert news is not None
    await two.catch_up()
    assert await two.claim()
    three = _lease(log, 'three', clock)
    await three.catch_up()
    three.note_released(news.fencing_number)
    clock.advance(1)
    assert not three.may_claim(0)


async def test_a_stale_number_of_an_earlier_tenure_is_ignored() -> None:
    log, clock = FakeLog(), FakeClock()
    one = _lease(log, 'one', clock)
    await one.claim()
    assert one.valid_tenure is not None
    number = one.valid_tenure.fencing_number
    one.give_up('fenced off', number - 1)
    assert one.is_holder
    one.give_up('fenced off', number)
    assert not one.is_holder


async def test_a_paused_holder_does_not_act() -> None:
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    await two.catch_up()
    clock.advance(10)
    assert one.valid_tenure is None
    assert await two.claim()
    await one.renew()
    assert not one.is_holder
    assert one.valid_tenure is None


async def test_a_paused_holder_that_was_not_replaced_renews() -> None:
    log, clock = FakeLog(), FakeClock()
    one = _lease(log, 'one', clock)
    await one.claim()
    assert one.valid_tenure is not None
    number = one.valid_tenure.fencing_number
    clock.advance(10)
    await one.renew()
    assert one.valid_tenure is not None
    assert one.valid_tenure.fencing_number == number


async def test_fencing_numbers_grow() -> None:
    log, clock = FakeLog(), FakeClock()
    numbers: list[int] = []
    for name in ('one', 'two', 'three'):
        lease = _lease(log, name, clock)
        await lease.catch_up()
        clock.advance(LEASE_S * 2)
        assert await lease.claim()
        assert lease.valid_tenure is not None
        numbers.append(lease.valid_tenure.fencing_number)
    assert numbers == sorted(set(numbers))


async def test_a_claim_with_a_lost_answer_is_not_acted_on() -> None:
    log, clock = FakeLog(), FakeClock()
    one = _lease(log, 'one', clock)
    log.lose_answer = True
    with pytest.raises(AppendUncertain):
        await one.claim()
    assert one.valid_tenure is None
    assert not await one.claim()


async def test_a_renewal_with_a_lost_answer_is_found() -> None:
    log, clock = FakeLog(), FakeClock()
    one = _lease(log, 'one', clock)
    await one.claim()
    clock.advance(LEASE_S / 2)
    log.lose_answer = True
    with pytest.raises(LogError):
        await one.renew()
    await one.renew()
    assert one.is_holder
    await one.renew()
    assert one.valid_tenure is not None


async def test_a_new_process_knows_since_when_the_log_has_lost_nothing() -> (
    None
):
    """Guards against windows that are reported again after a restored store.

    Only former processes have seen the return; the log tells of it.
    """
    log, clock = FakeLog(), FakeClock()
    shared_clock = SharedClock(clock, clock)
    clock.advance(20)
    holder = Lease(log, 'one', 1, LEASE_S, clock, shared_clock)
    await holder.claim()
    claimed_at_s = clock()
    clock.advance(LEASE_S / 2)
    await holder.renew()
    clock.advance(5)
    started = Lease(log, 'two', 1, LEASE_S, clock, shared_clock)
    assert started.has_lost_nothing_since_s == float('inf')
    await started.catch_up()
    assert started.has_lost_nothing_since_s == claimed_at_s


async def test_records_without_their_era_tell_nothing_of_a_return() -> None:
    """They are of an older build, or of a node whose time is not certain."""
    log, clock = FakeLog(), FakeClock()
    settling = SharedClock(clock, clock)
    await Lease(log, 'one', 1, LEASE_S, clock, settling).claim()
    clock.advance(5)
    started = Lease(log, 'two', 1, LEASE_S, clock, settling)
    await started.catch_up()
    assert started.has_lost_nothing_since_s == clock()


def test_records_of_a_former_era_tell_nothing_of_the_present_one() -> None:
    state = DutyState()
    state.fold(1, Claim('one', 1, WrittenIn(1, 100)))
    assert state.has_lost_nothing_since_s(1) == 100
    state.fold(2, Renewal(1, WrittenIn(2, 130)))
    state.fold(3, Renewal(1, WrittenIn(2, 131)))
    state.fold(4, Renewal(1, WrittenIn(1, 90)))
    assert state.has_lost_nothing_since_s(1) is None
    assert state.has_lost_nothing_since_s(2) == 130
    assert state.has_lost_nothing_since_s(3) is None


async def test_a_successor_knows_the_logged_usage() -> None:
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    assert one.valid_tenure is not None
    counts = {'farm': 4}
    number = one.valid_tenure.fencing_number
    assert await one.append(UsageReport(number, 7, counts))
    await one.release()
    await two.catch_up()
    assert two.may_claim(0)
    assert await two.claim()
    assert two.state.reports == {7: counts}


async def test_counts_of_a_window_are_logged_once() -> None:
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    assert one.valid_tenure is not None
    number = one.valid_tenure.fencing_number
    await one.append(UsageReport(number, 7, {'farm': 4}))
    await two.catch_up()
    clock.advance(LEASE_S * 2)
    await two.claim()
    assert not await one.append(UsageReport(number, 7, {'farm': 5}))
    await two.catch_up()
    assert two.state.reports[7] == {'farm': 4}


async def test_old_records_of_a_silent_holder_delay_no_claim() -> None:
    """Guards against a successor that waits for the lease twice.

    It reads the holder's renewals only when it claims.
    """
    log, clock = FakeLog(), FakeClock()
    shared_clock = SharedClock(clock, clock)
    one, two = (
        Lease(log, name, 1, LEASE_S, clock, shared_clock)
        for name in ('one', 'two')
    )
    clock.advance(20)
    await one.claim()
    await two.catch_up()
    for _ in range(3):
        clock.advance(LEASE_S / 2)
        await one.renew()
    news = one.news()
    assert news is not None
    two.note_renewal(news.fencing_number, news.age_s)
    clock.advance(LEASE_S)
    assert not two.may_claim(0)
    clock.advance(0.6)
    assert two.may_claim(0)
    assert await two.claim()


async def test_renewals_that_peers_have_not_heard_of_delay_a_claim() -> None:
    """Guards against two holders when only the holder's peers are cut off."""
    log, clock = FakeLog(), FakeClock()
    shared_clock = SharedClock(clock, clock)
    one, two = (
        Lease(log, name, 1, LEASE_S, clock, shared_clock)
        for name in ('one', 'two')
    )
    clock.advance(20)
    await one.claim()
    await two.catch_up()
    clock.advance(LEASE_S)
    await one.renew()
    clock.advance(1)
    assert two.may_claim(0)
    assert not await two.claim()
    assert not two.may_claim(0)


async def test_a_holder_that_can_not_renew_hands_over() -> None:
    """Guards against a lease that nobody uses and nobody may claim."""
    log, clock = FakeLog(), FakeClock()
    one, two = _lease(log, 'one', clock), _lease(log, 'two', clock)
    await one.claim()
    await two.catch_up()
    number = _number(one)
    clock.advance(LEASE_S / 2)
    assert not one.hand_over_if_late()
    clock.advance(LEASE_S / 4)
    assert one.hand_over_if_late()
    assert one.valid_tenure is None
    news = one.news()
    assert news is not None
    two.note_released(news.fencing_number)
    assert two.may_claim(0)
    assert await two.claim()
    assert _number(two) > number
    assert not await one.append(UsageReport(number, 7, {'farm': 1}))


async def test_a_holder_that_handed_over_claims_under_a_new_number() -> None:
    """Guards against one fencing number that is used in two tenures."""
    log, clock = FakeLog(), FakeClock()
    one = _lease(log, 'one', clock)
    await one.claim()
    number = _number(one)
    clock.advance(LEASE_S)
    assert one.hand_over_if_late()
    assert one.may_claim(0)
    assert await one.claim()
    assert _number(one) > number
    news = one.news()
    assert news is not None
    assert not news.released


def _number(lease: Lease) -> int:
    tenure = lease.valid_tenure
    assert tenure is not None
    return tenure.fencing_number
