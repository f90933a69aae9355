"""Probes whether the process that listened on an address has ended."""

import curio

from bitterntiller.components.crashes import const
from bitterntiller.core.tcp import async_connect


async def async_has_ended(address: str) -> bool:
    """Return whether connections to IP:port are refused, twice in PROBE_INTERVAL.

    A reset connection, a network path without replies or a slow upstream don't prove
    that a process has ended.
    """
    if not await _async_refuses(address):
        return False
    await curio.sleep(const.PROBE_INTERVAL)
    return await _async_refuses(address)


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
