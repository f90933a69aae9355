import curio
import pytest

from bitterntiller.cli import const
from bitterntiller.cli.change_sender import ConfigChange, async_apply
from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from tests.cli.builders import ScriptedClient

CHANGE = ConfigChange("id-1", 6, {"tiers": {}})
REFUSED = ConnectRefusedError("refused")
LOST = IncompleteResponseError("lost")
UNKNOWN = (503, {"status": "unknown", "text": "open"})
ACCEPTED = (200, {"status": "accepted", "version": 7})
CONFLICT = (409, {"status": "conflict", "version": 9})
UNAUTHORIZED = (401, {"status": "unauthorized"})


def apply(*script):
    client = ScriptedClient(*script)
    return client, curio.run(async_apply, client, CHANGE, len(script), 0.0)


def test_change_is_resent_with_its_id_after_a_lost_response():
    """A host fails after it forwarded the change to control.

    Sent again under a new id, the change would conflict with its own first copy. The
    tool sends the same bytes and id to the next port, which returns the first outcome.
    """
    client, result = apply(LOST, UNKNOWN, REFUSED, ACCEPTED)
    assert (result.exit_code, result.tries) == (const.EXIT_OK, 4)
    assert [address for address, _, _ in client.calls] == ["a:1", "b:1", "a:1", "b:1"]
    sent = {(tuple(headers.items()), body) for _, headers, body in client.calls}
    ((headers, body),) = sent
    assert dict(headers)[b"idempotency-key"] == b"id-1"
    assert dict(headers)[b"if-match"] == b'"6"'
    assert body == b'{"tiers":{}}'


@pytest.mark.parametrize(
    ("script", "code"),
    [
        ([CONFLICT], const.EXIT_CONFLICT),
        ([(409, {"status": "expired-id"})], const.EXIT_REFUSED),
        ([(422, {"status": "invalid", "problems": []})], const.EXIT_PROBLEMS),
        ([(428, {"status": "bad-request"})], const.EXIT_REFUSED),
        ([UNAUTHORIZED], const.EXIT_UNAUTHORIZED),
        ([REFUSED, REFUSED], const.EXIT_UNREACHABLE),
        ([REFUSED, LOST], const.EXIT_UNKNOWN),
        ([LOST, REFUSED], const.EXIT_UNKNOWN),
        ([UNKNOWN], const.EXIT_UNKNOWN),
        ([(500, {})], const.EXIT_UNKNOWN),
        ([LOST, UNAUTHORIZED], const.EXIT_UNKNOWN),
        ([LOST, CONFLICT], const.EXIT_CONFLICT),
    ],
)
def test_exit_code_says_whether_the_outcome_is_known(script, code):
    client, result = apply(*script)
    assert result.exit_code == code
    assert client.script == []
