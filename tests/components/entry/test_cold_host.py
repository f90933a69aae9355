"""Requests to a host without a lease or a configuration, in the native dialect."""

import curio
import pytest

from tests.components.entry.deployment import async_whole, entry_host
from tests.components.entry.test_edges import TOKEN
from tests.components.http.builders import async_send

KNOWN = f"Authorization: Bearer {TOKEN}"
BODY = "Content-Length: 2\r\n\r\n{}"
LONG = "Content-Length: 4000000"

REQUESTS_BY_STATUS = {
    "400 path with a dot segment": f"POST /v1/./a HTTP/1.1\r\nHost: x\r\n{KNOWN}",
    "400 unknown tier": f"POST /v1/a HTTP/1.1\r\nHost: x\r\n{KNOWN}\r\nX-Tier: no",
    "401 unknown token": "POST /v1/a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer no",
    "403 tier above its own": (
        f"POST /v1/a HTTP/1.1\r\nHost: x\r\n{KNOWN}\r\nX-Tier: gold"
    ),
    "404 unknown path": f"POST /none HTTP/1.1\r\nHost: x\r\n{KNOWN}",
    "413 body over the limit": f"POST /v1/a HTTP/1.1\r\nHost: x\r\n{KNOWN}\r\n{LONG}",
}


def ask(name, lease_valid, version):
    data = REQUESTS_BY_STATUS[name]
    data += "\r\n\r\n" if LONG in data else f"\r\n{BODY}"

    async def async_main():
        async with entry_host(async_whole, body_bytes=1000) as entry:
            entry.context.lease.held = lease_valid
            entry.context.config.version = version
            return await async_send(entry.port, data.encode())

    return curio.run(async_main)


@pytest.mark.parametrize("name", REQUESTS_BY_STATUS)
def test_request_is_refused_by_the_configuration_in_force(name):
    assert ask(name, True, 1).startswith(b"HTTP/1.1 " + name[:3].encode())


@pytest.mark.parametrize(
    ("lease_valid", "version"), [(False, 0), (False, 1), (True, 0)]
)
@pytest.mark.parametrize("name", REQUESTS_BY_STATUS)
def test_host_that_can_not_decide_asks_to_come_back(name, lease_valid, version):
    """A host that has just started or is out of touch refuses a proper request."""
    response = ask(name, lease_valid, version)
    assert response.startswith(b"HTTP/1.1 503")
    assert b"retry-after: " in response.lower()
