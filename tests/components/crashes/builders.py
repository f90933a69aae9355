"""Builders of crashes and crash reports."""

from typing import Any

from bitterntiller.components.crashes.models import Clearing, Crash, CrashUpdate
from bitterntiller.components.crashes.wire import report_message

POISON = 0x5EED
INNOCENT = 0xBEEF


def crash(upstream: str = "e1", **changes: Any) -> Crash:
    """Return the crash of an upstream, by default always under the same request."""
    return Crash(POISON, upstream, "1", 1000.0)._replace(**changes)


def crashes(count: int, **changes: Any) -> CrashUpdate:
    """Return crashes of several upstreams under one request, a second apart."""
    return CrashUpdate(
        tuple(
            crash(f"e{n}", **({"at": 1000.0 + n} | changes))
            for n in range(1, count + 1)
        )
    )


def one_by_one(count: int, newest_at: float) -> CrashUpdate:
    """Return crashes under one request, each sent when the ones before were known."""
    return CrashUpdate(
        tuple(
            crash(f"e{n}", at=newest_at - 10.0 * (count - n), ran=0.2)
            for n in range(1, count + 1)
        )
    )


def clearing(at: float, fingerprint: int = POISON) -> CrashUpdate:
    """Return the clearing of a request."""
    return CrashUpdate(clearings=(Clearing(fingerprint, at),))


def report(count: int, now: float) -> Any:
    """Return the report of a host that saw several upstreams crash under a request."""
    return report_message(crashes(count, at=now), "reporter", now, broadcast=True)
