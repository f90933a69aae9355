"""Summarize the quota decisions of counting hosts by workspace."""

from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.request_trace import LogEvent

QUOTA_EVENT = "quota"
"""The event that a counting host logs for each quota decision."""


class QuotaDecisions(NamedTuple):
    """Decisions of one counting host on the requests of one workspace.

    retries_reserved is the number of refused requests with quota reserved for their
    retry, max_wait is in seconds, and min_fraction_left is the smallest fraction of
    the window's quota that was left at a decision.
    """

    counting_host: str
    workspace: str
    received: int
    refused: int
    retries_reserved: int
    max_wait: float
    min_fraction_left: float


def summarize_quotas(events: Iterable[LogEvent]) -> list[QuotaDecisions]:
    """Return the decisions by counting host and workspace, most refusals first."""
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
        retries_reserved=sum(bool(item.get("retry_reserved")) for item in refused),
        max_wait=max(float(item.get("waited") or 0.0) for item in fields),
        min_fraction_left=min(
            float(item.get("left") or 0) / max(1.0, float(item.get("of") or 1))
            for item in fields
        ),
    )
