"""A late second copy of a refusal is read as the refusal of the next sending."""

import os
import sys
import threading
import time
import uuid
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness.engine import Channel, Engine, Request, Serve, response  # noqa: E402
from harness.fleet import (  # noqa: E402
    FRONT_PORT,
    KEY,
    CannotRunError,
    Fleet,
    Record,
    call,
    configuration,
    plain_service,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 5.0
CALLERS = 1
PAUSE = 0.01
ENGINES = int(os.environ.get("ENGINES", "1"))
REFUSED_OF = (5, (0,)) if ENGINES == 1 else (7, (0, 1))
"""Which of so many arrivals the engines refuse as not run, as full ones do; also with
TROUBLE=0. With two engines each of them refuses a request, one after the other."""

EXTRA_SHARE = 0.03
"""Part of all answers of the engine that come a second time, late."""


class Seen:
    """What the engine has run, and what callers got."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.runs: Counter[str] = Counter()
        self.answers = 0
        self.extra = 0
        self.arrivals = 0
        self.status_by_id: dict[str, int] = {}


def make_serve(seen: Seen, record: Record) -> Serve:
    """Return how the engine serves a request."""

    def serve(engine: Engine, channel: Channel, request: Request) -> bool:
        late = channel.notes.pop("late", None)
        if late is not None:
            # The extra response arrives where the next response is expected.
            channel.send(late)
            record.write(f"engine: late copy before the answer to {request.attempt}")
        with seen.lock:
            seen.arrivals += 1
            number = seen.arrivals
            seen.answers += 1
        of, refused = REFUSED_OF
        refuses = number % of in refused
        if refuses:
            answer = response(
                request, "503 Service Unavailable", b"", "X-Not-Executed: 1"
            )
            channel.send(answer)
            record.write(f"engine: {request.attempt} refused as not run")
            with seen.lock:
                if TROUBLE and seen.extra + 1 <= EXTRA_SHARE * seen.answers:
                    seen.extra += 1
                    channel.notes["late"] = answer
            return True
        with seen.lock:
            seen.runs[request.attempt] += 1
        record.write(f"engine: {request.attempt} runs")
        time.sleep(0.01)
        channel.send(response(request, "200 OK", b"tile"))
        return True

    return serve


def calls(fleet: Fleet, seen: Seen, record: Record, until: float) -> None:
    """Send requests of a route whose requests may run once."""
    while time.monotonic() < until:
        attempt = uuid.uuid4().hex[:16]
        headers = {
            "Host": "trees.example",
            "Authorization": f"Token {KEY}",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "4000",
        }
        ip = fleet.entries[0].ip
        record.write(f"caller: {attempt} sent")
        status, _ = call(ip, FRONT_PORT, "POST", "/tiles/1", b"{}", headers, 5.0)
        record.write(f"caller: {attempt} answered {status}")
        with seen.lock:
            seen.status_by_id[attempt] = status
        time.sleep(PAUSE)


def main() -> int:
    """Return 1 if the rule was broken, 0 if it held."""
    record = Record(HERE)
    seen = Seen()
    with Fleet() as fleet:
        routes = [route("r-1", "/tiles/", "non_idempotent", "map-api")]
        fleet.configure(configuration(7, routes, [plain_service("map-api")]))
        fleet.wait_ready()
        serve = make_serve(seen, record)
        engines = [
            Engine(fleet, f"i-7f3a91c{number}", number, "map-api", serve)
            for number in range(1, ENGINES + 1)
        ]
        time.sleep(2.0)
        until = time.monotonic() + SECONDS
        threads = [
            threading.Thread(target=calls, args=(fleet, seen, record, until))
            for _ in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(1.0)
        ended = fleet.ended()
        for engine in engines:
            engine.close()
    twice = sorted(item for item, count in seen.runs.items() if count > 1)
    untrue = sorted(
        item
        for item, status in seen.status_by_id.items()
        if status in (408, 421, 429, 503) and seen.runs[item]
    )
    statuses = Counter(seen.status_by_id.values())
    for line in (
        f"requests {len(seen.status_by_id)}, by status {dict(statuses)}",
        f"answers of the engines {seen.answers}, of them sent twice {seen.extra}",
        f"TWICE: requests that ran more than once: {twice}",
        f"REFUSED: answered as not run, but have run: {untrue}",
        f"processes that ended: {ended}",
    ):
        record.write(line)
        print(line)
    if not statuses[200]:
        raise CannotRunError("no request was served")
    return 1 if twice or untrue else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRunError as error:
        print(f"can't run: {error}", file=sys.stderr)
        sys.exit(2)
