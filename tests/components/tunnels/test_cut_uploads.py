"""An answer that breaks off during an upload through another host is not whole."""

import curio
import pytest

from bitterntiller.components.http.errors import IncompleteResponseError
from tests.components.tunnels.builders import HANGS, Upstream, hosts
from tests.platform.upload_engine import CUT, PART, Ending, upload_engine

UPLOAD = b"x" * 2_000_000
TIMES = 4
SMALL = b"{}"


async def async_bodies(ending: Ending, upload: bytes) -> list[bytes]:
    """Return the bodies of the answers that were whole."""
    found = []
    with upload_engine(ending) as address:
        destination = Upstream(address, [], [], set()).destination()
        async with hosts("a", "b") as (sender, _):
            sender.connections.mode = HANGS
            for _ in range(TIMES):
                connected = await sender.connector.async_acquire(destination, 1.0)
                assert connected.relay == "b"
                client = connected.client
                headers = [(b"x-attempt-id", b"a1")]
                try:
                    await client.async_request("POST", "/", headers, upload, 2.0)
                    await client.async_head(2.0)
                    found.append(await client.async_body(5.0, 1000))
                except IncompleteResponseError:
                    continue
                finally:
                    await client.async_close()
    return found


@pytest.mark.parametrize("ending", CUT)
def test_answer_cut_during_an_upload_through_another_host_is_incomplete(ending):
    """The host between must not report an upload that it couldn't pass on."""
    assert curio.run(async_bodies, ending, UPLOAD) == []


@pytest.mark.parametrize("upload", [UPLOAD, SMALL])
@pytest.mark.parametrize("ending", [Ending.LINGERS, Ending.READS_ALL])
def test_early_answer_to_an_upload_through_another_host_is_whole(ending, upload):
    assert curio.run(async_bodies, ending, upload) == [PART] * TIMES
