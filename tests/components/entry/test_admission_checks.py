"""Tests of requests that arrive at a host without a lease."""

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


def admission_checks(held: bool) -> tuple[AdmissionChecks, FakeLease]:
    lease = FakeLease()
    lease.held = held
    return AdmissionChecks(_Context(RuntimeClock(), lease), Limits(), None), lease


def test_request_waits_for_an_expected_lease():
    """A request misses its objective although the host could serve it a moment later.

    After a power loss the host is up before control is. If it refuses the request
    immediately, the caller retries only after a second.
    """

    async def run():
        checks, lease = admission_checks(held=False)
        waiting = await curio.spawn(checks.async_wait_for_lease)
        await curio.sleep(0.05)
        assert not waiting.terminated
        lease.held = True
        async with curio.timeout_after(const.LEASE_WAIT):
            await waiting.join()

    curio.run(run)


def test_request_is_refused_with_retry_after_if_no_lease_arrives(monkeypatch):
    """Requests accumulate at a host that is partitioned from control for long."""
    monkeypatch.setattr(const, "LEASE_WAIT", 0.03)

    async def run():
        checks, _ = admission_checks(held=False)
        async with curio.timeout_after(0.5):
            await checks.async_wait_for_lease()
        ending = checks.check_ready(draining=False)
        assert ending.reason is Reason.NO_LEASE
        after = ending.retry_after / const.NO_LEASE_RETRY_AFTER
        least, most = const.NO_LEASE_JITTER
        assert least <= after <= most

    curio.run(run)


@pytest.mark.parametrize("seconds", [0.01, 0.1])
def test_requests_do_not_wait_long_after_the_lease_was_lost(monkeypatch, seconds):
    monkeypatch.setattr(const, "LEASE_WAIT_WINDOW", seconds)

    async def run():
        checks, lease = admission_checks(held=True)
        await checks.async_wait_for_lease()
        lease.held = False
        await curio.sleep(seconds + 0.01)
        async with curio.timeout_after(const.LEASE_WAIT / 2):
            await checks.async_wait_for_lease()

    curio.run(run)
