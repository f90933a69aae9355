"""Diagnostics: the requests and parts of prompts that have crashed upstreams."""

from collections.abc import Mapping
from typing import Any

from bitterntiller.components.crashes.fingerprint import (
    format_fingerprint,
    is_part,
)
from bitterntiller.components.crashes.history import CrashHistory

KIND_PART = "part"
KIND_REQUEST = "request"


def describe(history: CrashHistory, now: float) -> Mapping[str, Any]:
    """Return the crashes of each request or part by its fingerprint; times in seconds.

    kind tells a whole request from a part of a prompt, which other requests hold too.
    blocked_for is how long an operator still keeps it from upstreams.
    """
    known = history.snapshot(now)
    crashes_by_fingerprint: dict[str, dict[str, Any]] = {}

    def item_of(fingerprint: int) -> dict[str, Any]:
        return crashes_by_fingerprint.setdefault(
            format_fingerprint(fingerprint),
            {
                "kind": KIND_PART if is_part(fingerprint) else KIND_REQUEST,
                "quarantined_for": round(history.quarantined_for(fingerprint, now), 3),
                "blocked_for": round(history.blocked_for(fingerprint, now), 3),
                "crashes": [],
            },
        )

    for block in known.blocks:
        if block.ends > now:
            item_of(block.fingerprint)
    for crash in known.crashes:
        item_of(crash.fingerprint)["crashes"].append(
            {
                "upstream": crash.upstream,
                "incarnation": crash.incarnation,
                "seconds_ago": round(now - crash.at, 3),
            }
        )
    return {"requests_by_fingerprint": crashes_by_fingerprint}
