"""Sums up what hosts that count quotas have decided, by workspace."""

from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.request_trace import LogEvent

QUOTA_EVENT = "quota"
"""The event of one decision at a quota."""


class QuotaDecisions(NamedTuple):
    """The decisions on one workspace's requests at one counting host.

    kept counts the refused for whose return room was kept; longest_wait is in seconds,
    least_left the least that was left of the window, in parts of it.
    """

    counting_host: str
    workspace: str
    received: int
    refused: int
    kept: int
    max_wait: float
    min_fraction_left: float


def summarize_quotas(events: Iterable[LogEvent]) -> list[QuotaDecisions]:
    """Return the decisions by counting host and workspace, the most refused first."""
    found: dict[tuple[str, str], list[LogEvent]] = {}
    for event in events:
        if event.kind == QUOTA_EVENT:
            key = (event.host, str(event.fields.get("workspace", "")))
            found.setdefault(key, []).append(event)
    uses = [_summarize_decisions(*key, decided) for key, decided in found.items()]
    return sorted(uses, key=lambda use: (-use.refused, -use.received))


def _summarize_decisions(
    counting_host: str, workspace: str, decided: list[LogEvent]
) -> QuotaDecisions:
    fields = [event.fields for event in decided]
    refused = [item for item in fields if not item.get("reserved")]
    return QuotaDecisions(
        counting_host=counting_host,
        workspace=workspace,
        received=len(fields),
        refused=len(refused),
        kept=sum(bool(item.get("retry_reserved")) for item in refused),
        max_wait=max(float(item.get("waited") or 0.0) for item in fields),
        min_fraction_left=min(
            float(item.get("left") or 0) / max(1.0, float(item.get("of") or 1))
            for item in fields
        ),
    )
