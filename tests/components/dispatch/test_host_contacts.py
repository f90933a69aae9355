"""The silence of an entry host says nothing about the upstreams that it uses."""

import pytest

from bitterntiller.components.dispatch.host_contacts import HostContacts

from .contact_builders import HOST, NOW, OTHER_HOST, expected_after_loss


@pytest.mark.parametrize("output", [0, 10])
def test_requests_of_a_lost_host_do_not_make_their_upstream_slow(output: int):
    """The requests of killed hosts were learned as overdue at idle upstreams."""
    assert expected_after_loss(output, OTHER_HOST) == pytest.approx(1.0, rel=0.05)


@pytest.mark.parametrize("output", [0, 10])
def test_requests_of_the_process_before_do_not_make_their_upstream_slow(output: int):
    """A host that was started again seemed to have the requests of before."""
    found = expected_after_loss(output, HOST, OTHER_HOST, incarnation="2")
    assert found == pytest.approx(1.0, rel=0.05)


@pytest.mark.parametrize("output", [0, 10])
def test_overdue_requests_of_a_host_that_is_heard_are_learned(output: int):
    """An upstream that slows down reports nothing until its work ends."""
    assert expected_after_loss(output, HOST, OTHER_HOST) > 1.2


def test_contact_begins_anew_with_another_process():
    contacts = HostContacts()
    assert contacts.heard_at(HOST, NOW, NOW + 9) == NOW + 9
    contacts.record(HOST, "1", NOW)
    contacts.record(HOST, "1", NOW + 1)
    assert contacts.heard_at(HOST, NOW - 5, NOW + 9) == NOW + 1
    contacts.record(HOST, "2", NOW + 4)
    contacts.record(HOST, "2", NOW + 5)
    assert contacts.heard_at(HOST, NOW, NOW + 9) == NOW + 1
    assert contacts.heard_at(HOST, NOW + 4, NOW + 9) == NOW + 5
    assert contacts.heard_at(OTHER_HOST, NOW, NOW + 9) == NOW + 9
