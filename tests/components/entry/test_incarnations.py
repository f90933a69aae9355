"""What a connection is taken for after an upstream has answered for its incarnation."""

from types import SimpleNamespace

import curio
import pytest
from bitterntiller_platform import wire
from bitterntiller_platform.dialect import PlatformDialect

from bitterntiller.components.entry.incarnations import IncarnationChecks, LeadsTo
from bitterntiller.components.http.models import ResponseHead

GRANT = SimpleNamespace(upstream="i-1", incarnation="100")
LATE = [(wire.HEADER_REQUEST_ID, b"other")]
OTHER_START = b'{"%s": 200}' % wire.KEY_BORN.encode()


class Client:
    """A connection on which an upstream answers each request the same way."""

    def __init__(self, status, body, headers=()):
        self.incarnation = None
        self.reused = False
        self._head = ResponseHead(status, list(headers))
        self._body = body

    async def async_request(self, *arguments, close):
        assert not close

    async def async_head(self, timeout):
        return self._head

    async def async_body(self, timeout, limit):
        return self._body

    async def async_prepare_reuse(self):
        return True


def check_in_turn(*clients):
    checks = IncarnationChecks(PlatformDialect())

    async def async_check():
        return [await checks.async_check(client, GRANT) for client in clients]

    return curio.run(async_check)


@pytest.mark.parametrize(
    ("status", "headers", "leads_to"),
    [
        (429, (), LeadsTo.OTHER),
        (503, (), LeadsTo.OTHER),
        (200, (), LeadsTo.GRANTED),
        (200, LATE, LeadsTo.OTHER),
    ],
)
def test_answer_that_is_no_report_does_not_end_the_checks(status, headers, leads_to):
    """Another start of the upstream was taken for the granted one ever after."""
    first = Client(status, b"full", headers)
    found = check_in_turn(first, Client(200, OTHER_START))
    assert found == [leads_to, LeadsTo.OTHER]
