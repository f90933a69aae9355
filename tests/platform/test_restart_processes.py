"""Proper requests while all processes of the platform are restarted at one moment."""

import time
from pathlib import Path

from tests.platform.builders import document, route
from tests.platform.callers import Callers, Response, refused_as_wrong
from tests.platform.processes import CONTROL_IPS, ENTRY_IP, SERVICE, Fleet

ENTRY_IPS = (ENTRY_IP, "127.0.3.10")
ROUTES = 5
THREADS = 8
SEED = 44
RESTARTS = 2
SECONDS_BETWEEN = 3.0
LIMITS = {"max_body_bytes": 4 * 1024 * 1024}


def configuration(version: int) -> dict:
    """Return a configuration whose versions differ only in the last route."""
    kept = [
        route(
            name=f"r-{number}",
            path_prefix=f"/kept{number}/",
            route_kind="idempotent",
            service=SERVICE,
        )
        for number in range(ROUTES)
    ]
    changed = route(name="r-new", path_prefix=f"/new{version}/", service=SERVICE)
    return document(*kept, changed) | {"version": version, "limits": LIMITS}


def play(folder: Path) -> tuple[list[Response], list[str]]:
    """Return the responses, and the request ids that reached an engine."""
    paths = [f"/kept{number}/a" for number in range(ROUTES)]
    with Fleet(folder, CONTROL_IPS, ENTRY_IPS, configuration(1)) as fleet:
        engines = [fleet.engine(f"e{number}", number, "v1") for number in (1, 2)]
        callers = Callers(ENTRY_IPS, lambda: paths, SEED)
        callers.start(THREADS)
        fleet.until(lambda: all(engine.runs for engine in engines))
        for restart in range(RESTARTS):
            fleet.order("PUT", "/-/config", configuration(restart + 2))
            fleet.restart_all()
            time.sleep(SECONDS_BETWEEN)
        callers.stop()
        ran = [item for engine in engines for item in engine.bodies_by_request]
    return callers.responses, ran


def test_no_proper_request_is_refused_as_wrong_around_a_restart_of_all(tmp_path):
    """Proper requests get 404 or 413, chunked ones or those to a fresh process."""
    responses, ran = play(tmp_path)
    assert refused_as_wrong(responses) == []
    refused = {item.request_id for item in responses if item.status in (429, 503)}
    assert refused.isdisjoint(ran)
    for form in ("whole", "chunked", "slowly_chunked"):
        statuses = [item.status for item in responses if item.form == form]
        assert 200 in statuses[-100:], form
