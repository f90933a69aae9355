"""Count answers that break off during an upload and reach the caller as whole ones.

python -m tests.platform.cut_uploads [TIMES] [BYTES] [ENDING...], with
PYTHONPATH=platform.
"""

import itertools
import sys
from collections import Counter

import curio

from tests.core.event_recorder import EventRecorder, recording
from tests.platform import builders
from tests.platform.upload_engine import Ending, upload_engine

UPLOAD_BYTES = 2_000_000
LONG_UPLOAD_BYTES = 7_000_000
"""More than the kernel buffers, so that the request is still being sent."""

LENGTH, CHUNKS = "length", "chunks"
CHUNK_BYTES = 50_000
ROUTE_KINDS = ("idempotent", "non_idempotent", "streaming")
CONTENT_TYPE_BY_KIND = {"streaming": "text/event-stream"}
WHOLE = "whole"
CUT = "cut"


def upload(framing: str, size: int = UPLOAD_BYTES) -> bytes:
    """Return a long request."""
    head = builders.request().partition(b"Content-Length")[0]
    if framing == LENGTH:
        return head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    piece = builders.chunk(b"x" * CHUNK_BYTES)
    body = piece * (size // CHUNK_BYTES) + builders.LAST_CHUNK
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + body


def outcome(received: bytes) -> str:
    """Return WHOLE for a complete success, the status of another one, or CUT."""
    head, found, body = received.partition(b"\r\n\r\n")
    if not found:
        return CUT
    lines = head.lower().split(b"\r\n")
    lengths = [line.split(b":")[1] for line in lines if b"content-length" in line]
    whole = len(body) >= int(lengths[0]) if lengths else body.endswith(b"\r\n0\r\n\r\n")
    status = head.split()[1].decode()
    if not whole:
        return CUT
    return WHOLE if status == "200" else status


async def async_outcomes(
    ending: Ending,
    kind: str,
    framing: str = LENGTH,
    times: int = 1,
    size: int = UPLOAD_BYTES,
) -> Counter[str]:
    """Return how often callers of an entry host saw which outcome."""
    route = builders.route(route_kind=kind, stream_resume=False)
    limits = {"max_body_bytes": LONG_UPLOAD_BYTES}
    document = builders.document(route, limits=limits)
    content_type = CONTENT_TYPE_BY_KIND.get(kind, "text/plain")
    data = upload(framing, size)
    found: Counter[str] = Counter()
    with upload_engine(ending, content_type) as address:
        async with builders.entry_host(_async_ignore, document) as host:
            host.links.address = address
            for _ in range(times):
                found[outcome(await host.async_ask(data, 5.0))] += 1
    return found


async def _async_ignore(sock: object, data: bytes, number: int) -> None:
    """The engine is a process of its own."""


def main() -> None:
    """Print the outcomes of each ending, kind of route and framing."""
    times = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    size = int(sys.argv[2]) if len(sys.argv) > 2 else UPLOAD_BYTES
    endings = [Ending(name) for name in sys.argv[3:]] or list(Ending)
    for ending, kind, framing in itertools.product(
        endings, ROUTE_KINDS, (LENGTH, CHUNKS)
    ):
        with recording() as recorded:
            found = curio.run(async_outcomes, ending, kind, framing, times, size)
        print(ending, kind, framing, dict(found), _ends(recorded), flush=True)


def _ends(recorded: EventRecorder) -> str:
    """Return how many answers ended before the engine had the whole request."""
    ends = recorded.by_kind.get("response-ended-during-request", [])
    return f"{len(ends)} ended during the request"


if __name__ == "__main__":
    main()
