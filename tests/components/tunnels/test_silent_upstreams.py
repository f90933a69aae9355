"""An upstream that is silent within a response is no failed path."""

from typing import Any

import curio

from bitterntiller.components.entry.path_report import PathReport
from bitterntiller.components.http.errors import IncompleteResponseError
from tests.components.tunnels.builders import hosts, upstream


def test_silent_upstream_is_not_taken_for_a_failed_path():
    """The path has carried all that was sent, and the probe over it is answered."""

    async def async_fall_silent(sock: Any) -> None:
        await sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        await curio.sleep(5.0)

    async def async_main() -> tuple[bool, bool]:
        async with hosts("a", "b") as (a, _), upstream(async_fall_silent) as e:
            destination = e.destination()
            connected = await a.connector.async_acquire(destination, 0.5)
            assert connected.relay == ""
            client = connected.client
            await client.async_request("POST", "/tiles", [], b"{}", 2.0)
            await client.async_head(2.0)
            await client.async_start_read_timeout(0.2)
            try:
                while await client.async_data() is not None:
                    pass
            except IncompleteResponseError:
                await PathReport(a.connector, destination, connected).async_end()
            await client.async_close()
            while a.checks.running:
                await curio.sleep(0.01)
            return bool(e.probes), a.paths.leads_around(e.address)

    probed, leads_around = curio.run(async_main)
    assert probed
    assert not leads_around
