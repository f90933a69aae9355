"""Requests that come to a host without a lease."""

from typing import NamedTuple

import curio
import pytest

from bitterntiller.components.entry import const
from bitterntiller.components.entry.admission_checks import AdmissionChecks
from bitterntiller.components.settings.models import Limits
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.core.outcomes import Reason

from .fakes import FakeLease


class _Context(NamedTuple):
    clock: RuntimeClock
    lease: FakeLease


def entrance(held: bool) -> tuple[AdmissionChecks, FakeLease]:
    lease = FakeLease()
    lease.held = held
    return AdmissionChecks(_Context(RuntimeClock(), lease), Limits(), None), lease


def test_a_request_waits_for_a_lease_that_is_due():
    """A request fails its objective though the host could serve it a moment later.

    Power is back, the host is up before control is, and refuses at once; the caller
    comes back a second later.
    """

    async def run():
        made, lease = entrance(held=False)
        waiting = await curio.spawn(made.async_wait_for_lease)
        await curio.sleep(0.05)
        assert not waiting.terminated
        lease.held = True
        async with curio.timeout_after(const.LEASE_WAIT):
            await waiting.join()

    curio.run(run)


def test_a_request_is_told_to_come_back_where_no_lease_comes(monkeypatch):
    """Requests pile up at a host that is cut off from control for long."""
    monkeypatch.setattr(const, "LEASE_WAIT", 0.03)

    async def run():
        made, _ = entrance(held=False)
        async with curio.timeout_after(0.5):
            await made.async_wait_for_lease()
        ending = made.check_ready(draining=False)
        assert ending.reason is Reason.NO_LEASE
        after = ending.retry_after / const.NO_LEASE_RETRY_AFTER
        least, most = const.NO_LEASE_JITTER
        assert least <= after <= most

    curio.run(run)


@pytest.mark.parametrize("seconds", [0.01, 0.1])
def test_nobody_waits_long_after_the_lease_was_lost(monkeypatch, seconds):
    monkeypatch.setattr(const, "LEASE_WAIT_WINDOW", seconds)

    async def run():
        made, lease = entrance(held=True)
        await made.async_wait_for_lease()
        lease.held = False
        await curio.sleep(seconds + 0.01)
        async with curio.timeout_after(const.LEASE_WAIT / 2):
            await made.async_wait_for_lease()

    curio.run(run)
