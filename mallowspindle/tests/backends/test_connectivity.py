"""Decisions whether a node reaches the servers of a service."""

from mallowspindle.backends.connectivity import Connectivity
from mallowspindle.tests.clock import FakeClock


def test_one_lost_server_of_many_is_no_lost_link() -> None:
    links = Connectivity(FakeClock())
    for _ in range(5):
        assert not links.record_failure('models', 'i-1', 9)
    assert links.reaches('models')


def test_servers_that_fail_one_after_the_other_are_not_reached() -> None:
    links = Connectivity(FakeClock())
    assert not links.record_failure('models', 'i-1', 9)
    assert links.record_failure('models', 'i-2', 9)
    assert not links.record_failure('models', 'i-3', 9)
    assert links.not_reached() == ['models']
    assert links.reaches('orders')


def test_an_answer_between_failures_means_that_servers_are_reached() -> None:
    links = Connectivity(FakeClock())
    for number in range(6):
        assert not links.record_failure('models', f'i-{number}', 9)
        assert not links.record_answer('models')
    assert links.reaches('models')


def test_an_answer_ends_the_loss_of_a_service() -> None:
    links = Connectivity(FakeClock())
    assert links.record_failure('orders', 'i-1', 1)
    assert links.record_answer('orders')
    assert links.reaches('orders')
    assert not links.record_answer('orders')
