"""Probes whether the process that ran a request has ended."""

import curio

from bitterntiller.components.crashes import const
from bitterntiller.core.interfaces import ProcessProbes, SentRequest
from bitterntiller.core.tcp import async_connect


async def async_has_ended(sent: SentRequest, probes: ProcessProbes) -> bool:
    """Return whether the process that a request was sent to has ended.

    It has if connections to its address are refused, twice in PROBE_INTERVAL and to
    other hosts as well, or if another process answers there. A reset connection, a
    network path without replies or a slow upstream don't prove it.
    """
    if await _async_refuses(sent.address):
        await curio.sleep(const.PROBE_INTERVAL)
        if await _async_refuses(sent.address):
            # Refused connections may also be due to the path between this host and the
            # upstream; three innocent requests would be quarantined by its loss.
            return await probes.async_confirm_refusal(sent)
    return await probes.async_is_replaced(sent)


async def _async_refuses(address: str) -> bool:
    ip, _, port = address.rpartition(":")
    try:
        sock = await async_connect(ip, int(port), const.PROBE_TIMEOUT)
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError, OverflowError):
        return False
    await sock.close()
    return False
