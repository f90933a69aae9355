"""Requests to an entry host that has just started and doesn't know the configuration.

Each would get a 4xx under some configuration, and is proper under another one.
"""

import http.client
from contextlib import closing

import pytest

from tests.platform.builders import KEY
from tests.platform.processes import (
    ASK_TIMEOUT,
    CONTROL_IPS,
    ENTRY_IP,
    ENTRY_PORT,
    Fleet,
)

pytestmark = pytest.mark.xdist_group("cold-processes")

HEADERS = {
    "Host": "trees.example",
    "X-Attempt-Id": "a1",
    "X-Deadline-Ms": "1000",
    "Authorization": f"Token {KEY}",
}
LONG_HEAD = 60 * 1024
REQUESTS_BY_REASON = {
    "known route": ("/tiles/1", {}, b"{}"),
    "no such route": ("/none/1", {}, b"{}"),
    "unknown key": ("/tiles/1", {"Authorization": "Token of-nobody"}, b"{}"),
    "no key": ("/tiles/1", {"Authorization": ""}, b"{}"),
    "long body": ("/tiles/1", {}, bytes(3 * 1024 * 1024)),
    "long head": ("/tiles/1", {"X-Long": "b" * LONG_HEAD}, b"{}"),
}
STATUSES_ONCE_CONFIGURED = {
    "known route": 503,
    "no such route": 404,
    "unknown key": 401,
    "no key": 401,
    "long body": 413,
    "long head": 431,
}
"""The known route has no upstream; the others are refused by the configuration."""


def ask(reason: str) -> tuple[int, str | None]:
    """Return the status and Retry-After of the response to one of the requests."""
    path, headers, body = REQUESTS_BY_REASON[reason]
    connection = http.client.HTTPConnection(ENTRY_IP, ENTRY_PORT, ASK_TIMEOUT)
    with closing(connection):
        try:
            connection.request("POST", path, body, HEADERS | headers)
            response = connection.getresponse()
        except (OSError, http.client.HTTPException):
            return 0, None
        return response.status, response.headers["Retry-After"]


@pytest.fixture(scope="module")
def statuses_by_stage(tmp_path_factory):
    """Return what each request gets at each stage of a host's start."""
    fleet = Fleet(tmp_path_factory.mktemp("cold"))
    found = {}
    try:
        fleet.start((ENTRY_IP,))
        fleet.until(lambda: ask("known route")[0])
        found["without control"] = {
            reason: ask(reason) for reason in REQUESTS_BY_REASON
        }
        fleet.start(CONTROL_IPS)
        fleet.until(lambda: "no-configuration" in log(fleet))
        found["with a lease only"] = {
            reason: ask(reason) for reason in REQUESTS_BY_REASON
        }
        fleet.configure()
        fleet.until(lambda: ask("unknown key")[0] == 401)
        found["configured"] = {reason: ask(reason) for reason in REQUESTS_BY_REASON}
    finally:
        fleet.stop()
    return found


def log(fleet: Fleet) -> str:
    ask("known route")
    return fleet.process_by_ip[ENTRY_IP].log.read_text()


@pytest.mark.parametrize("stage", ["without control", "with a lease only"])
@pytest.mark.parametrize("reason", REQUESTS_BY_REASON)
def test_host_without_a_configuration_asks_to_come_back(
    statuses_by_stage, stage, reason
):
    """A process that has just started refuses a request by limits of its own."""
    status, retry_after = statuses_by_stage[stage][reason]
    assert status == 503
    assert float(retry_after) > 0


@pytest.mark.parametrize("reason", REQUESTS_BY_REASON)
def test_configured_host_refuses_by_its_configuration(statuses_by_stage, reason):
    found = statuses_by_stage["configured"][reason][0]
    assert found == STATUSES_ONCE_CONFIGURED[reason]
