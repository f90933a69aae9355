"""Diagnostics: the requests that have crashed upstreams."""

from collections.abc import Mapping
from typing import Any

from bitterntiller.components.crashes.fingerprint import format_fingerprint
from bitterntiller.components.crashes.history import CrashHistory


def describe(history: CrashHistory, now: float) -> Mapping[str, Any]:
    """Return the crashes of each request by its fingerprint; times in seconds."""
    crashes_by_fingerprint: dict[str, dict[str, Any]] = {}
    for crash in history.snapshot(now).crashes:
        name = format_fingerprint(crash.fingerprint)
        item = crashes_by_fingerprint.setdefault(
            name,
            {
                "quarantined_for": round(
                    history.quarantined_for(crash.fingerprint, now), 3
                ),
                "crashes": [],
            },
        )
        item["crashes"].append(
            {
                "upstream": crash.upstream,
                "incarnation": crash.incarnation,
                "seconds_ago": round(now - crash.at, 3),
            }
        )
    return {"requests_by_fingerprint": crashes_by_fingerprint}
