"""An engine of a soak that is paused is to others like a paused process."""

import http.client
import threading
import time
import uuid
from contextlib import contextmanager

from tests.platform.processes import CONTROL_IPS, ENGINE_PORT, HEALTH_PATH, SUBNET
from tests.platform.soak_fleet import SoakEngine

NUMBER = 90
IP = f"{SUBNET}.{100 + NUMBER}"
EVENTS = 20
PAUSE_SECONDS = 0.6
HEADERS = {"X-Token-Usage": f"10,{EVENTS}"}


class Fleet:
    bad_parts = frozenset()


@contextmanager
def running_engine():
    engine = SoakEngine(Fleet(), NUMBER)
    try:
        yield engine
    finally:
        engine.end()


@contextmanager
def connected():
    connection = http.client.HTTPConnection(IP, ENGINE_PORT, 5.0)
    try:
        yield connection
    finally:
        connection.close()


def test_paused_engine_accepts_connections_and_answers_later():
    with running_engine() as engine, connected() as connection:
        engine.paused = True
        threading.Timer(PAUSE_SECONDS, setattr, (engine, "paused", False)).start()
        at = time.monotonic()
        connection.request("GET", HEALTH_PATH)
        assert engine.checks == 0
        assert connection.getresponse().status == 200
        assert time.monotonic() - at >= PAUSE_SECONDS - 0.1


def test_paused_engine_runs_nothing():
    with running_engine() as engine, connected() as connection:
        engine.paused = True
        request_id = uuid.uuid4().hex
        connection.request(
            "POST", "/trees/1", b"{}", HEADERS | {"X-Attempt-Id": request_id}
        )
        time.sleep(0.3)
        assert engine.requests == []
        engine.paused = False
        assert connection.getresponse().read().count(b"id: ") == EVENTS
        assert engine.requests == [request_id]


def test_paused_engine_goes_on_with_its_streams():
    with running_engine() as engine, connected() as connection:
        connection.request("POST", "/trees/1", b"{}", HEADERS | {"X-Attempt-Id": "s1"})
        response = connection.getresponse()
        assert response.readline() == b"id: 1\n"
        engine.paused = True
        threading.Timer(PAUSE_SECONDS, setattr, (engine, "paused", False)).start()
        at, gaps = time.monotonic(), []
        while response.readline():
            now = time.monotonic()
            gaps.append(now - at)
            at = now
        assert max(gaps) >= PAUSE_SECONDS - 0.2
        assert response.chunk_left is None
        assert engine.broken_off == set()


def test_paused_engine_does_not_announce_itself(monkeypatch):
    told = []

    def ask(ip, method, path, body=None, *more):
        told.append(ip)
        return 200, None

    monkeypatch.setattr("tests.platform.processes.ask", ask)
    with running_engine() as engine:
        time.sleep(0.8)
        assert set(told) == {CONTROL_IPS[0]}
        engine.paused = True
        time.sleep(0.1)
        before = len(told)
        time.sleep(0.8)
        assert len(told) == before


def test_engine_that_ends_while_paused_breaks_its_streams_off():
    with running_engine() as engine, connected() as connection:
        connection.request("POST", "/trees/1", b"{}", HEADERS | {"X-Attempt-Id": "s1"})
        assert connection.getresponse().readline() == b"id: 1\n"
        engine.paused = True
        engine.end()
        ends = time.monotonic() + 2.0
        while not engine.broken_off and time.monotonic() < ends:
            time.sleep(0.02)
        assert engine.broken_off == {"s1"}
