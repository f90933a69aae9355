"""Proper requests while all processes of the platform are restarted at one moment."""

import time
from pathlib import Path

from tests.platform.builders import document, route
from tests.platform.callers import FORMS, Callers, Response, refused_as_wrong
from tests.platform.processes import (
    CONTROL_IPS,
    ENTRY_IP,
    SERVICE,
    SUBNET,
    Fleet,
)

ENTRY_IPS = (ENTRY_IP, f"{SUBNET}.10")
ROUTES = 5
THREADS = 8
SEED = 44
RESTARTS = 2
SECONDS_BETWEEN = 1.0
FORM_NAMES = {form.__name__ for form in FORMS}
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


def served_forms(callers: Callers, since: float) -> set[str]:
    """Return the forms of a request that were served since a time."""
    responses = list(callers.responses)
    return {item.form for item in responses if item.at > since and item.status == 200}


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
            restarted_at = time.time()
            fleet.until(lambda at=restarted_at: served_forms(callers, at) == FORM_NAMES)
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
