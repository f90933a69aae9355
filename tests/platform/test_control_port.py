"""Changes that control can't hold, at the platform's control port."""

import json

import pytest

from bitterntiller.protocol import messages

from .test_rollouts import Leader, ask

PATH = "/-/config"


def change_reply(status, text=""):
    return messages.ChangeReply(status=status, version=1, text=text, leader="")


def test_change_that_takes_too_much_memory_is_refused_before_it_is_decoded():
    """A megabyte of empty lists took 35 MB at each host that it passed."""
    leader = Leader(change_reply("accepted"))
    document = {"version": 1, "more": [[[[]]] for _ in range(140_000)]}
    body = json.dumps(document, separators=(",", ":")).encode()
    response = ask(leader, "PUT", PATH, body)
    assert response.status == 413
    assert b"bytes of memory" in response.body
    assert leader.got == []


@pytest.mark.parametrize("status", ["full", "not-leader", "unknown"])
def test_change_that_was_not_committed_may_be_sent_again(status):
    leader = Leader(change_reply(status, "there is no room"))
    response = ask(leader, "PUT", PATH, b'{"version": 1}')
    assert response.status == 503
    assert (b"there is no room" in response.body) == (status == "full")
