"""Periodic announcements of a stand-in to the entry hosts."""

import json
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import curio
import h11

from standins.faults import Faults
from standins.options import Options
from standins.request_framing import encode_request

PERIOD_S = 1.0
TIMEOUT_S = 1.0
READ_BYTES = 65536
CACHE_EVENTS_AT_ONCE = 256


async def async_post(
    address: tuple[str, int], target: str, headers: dict[str, str], body: bytes
) -> int:
    """Post a body on a new connection; return the status, or 0 without a response."""
    http = h11.Connection(h11.CLIENT)
    fields = {"Host": f"{address[0]}:{address[1]}", "Connection": "close", **headers}
    sock = await curio.open_connection(*address)
    async with sock:
        await sock.sendall(encode_request(http, "POST", target, fields, body))
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await sock.recv(READ_BYTES))
            elif isinstance(event, h11.Response):
                return event.status_code
            else:
                return 0


class Announcer:
    """Announces the stand-in to one of several entry hosts every second.

    It stays with one host while that host accepts, else tries the next ones.
    """

    def __init__(
        self,
        options: Options,
        faults: Faults,
        running: Callable[[], int],
        on_accepted: Callable[[], None],
    ) -> None:
        self.leaving = False
        self.announce_now = curio.Event()
        self.cache_events: deque[dict[str, Any]] = deque(maxlen=10_000)
        self.kv_tokens_used = 0
        self._options = options
        self._faults = faults
        self._running = running
        self._on_accepted = on_accepted
        self._hosts = options.entry_hosts
        self._sequence = 0
        self._next_host = 0
        self._loads: deque[tuple[float, int, int]] = deque()
        key = options.key_file.read_text().strip() if options.key_file else ""
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }

    async def async_run(self) -> None:
        """Announce until cancelled, every PERIOD_S or when announce_now is set."""
        while self._hosts:
            if not self._faults.silent:
                await self._async_announce()
            await curio.ignore_after(PERIOD_S, self.announce_now.wait)
            self.announce_now.clear()

    async def _async_announce(self) -> None:
        body = json.dumps(self._document()).encode()
        for _ in self._hosts:
            address = self._hosts[self._next_host]
            if await self._async_post(address, body):
                self._on_accepted()
                return
            self._next_host = (self._next_host + 1) % len(self._hosts)

    async def _async_post(self, address: tuple[str, int], body: bytes) -> bool:
        try:
            status = await curio.timeout_after(
                TIMEOUT_S,
                async_post,
                address,
                "/v1/upstreams/announce",
                self._headers,
                body,
            )
        except (OSError, curio.TaskTimeout, h11.ProtocolError):
            return False
        return status == 200

    def _document(self) -> dict[str, Any]:
        options = self._options
        self._sequence += 1
        leaving = self.leaving or self._faults.leaving
        events = [
            self.cache_events.popleft()
            for _ in range(min(len(self.cache_events), CACHE_EVENTS_AT_ONCE))
        ]
        return {
            "name": options.name,
            "service": options.service,
            "address": options.listen,
            "incarnation": options.incarnation,
            "sequence": 1 if self._faults.old_sequence else self._sequence,
            "state": "leaving" if leaving else "ready",
            "labels": options.labels_by_key,
            "slots": options.slots,
            "kv_tokens": options.kv_tokens,
            "load": self._load_report(),
            "cache_events": events,
        }

    def _load_report(self) -> dict[str, int]:
        """Return the load that was measured load_lag_ms ago."""
        now, lag = time.monotonic(), self._options.load_lag_ms / 1000
        self._loads.append((now, self._running(), self.kv_tokens_used))
        while len(self._loads) > 1 and self._loads[1][0] <= now - lag:
            self._loads.popleft()
        measured, active, used = self._loads[0]
        return {
            "running": min(active, self._options.slots),
            "waiting": max(0, active - self._options.slots),
            "kv_tokens": used,
            "age_ms": int((now - measured) * 1000),
        }
