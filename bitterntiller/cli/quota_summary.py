"""Sums up what hosts that count quotas have decided, by workspace."""

from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.cli.request_trace import Line

COUNTED = "quota"
"""The event of one decision at a quota."""


class QuotaUse(NamedTuple):
    """The decisions on one workspace's requests at one counting host.

    kept counts the refused for whose return room was kept; longest_wait is in seconds,
    least_left the least that was left of the window, in parts of it.
    """

    counter: str
    workspace: str
    asked: int
    refused: int
    kept: int
    longest_wait: float
    least_left: float


def quota_uses(lines: Iterable[Line]) -> list[QuotaUse]:
    """Return the decisions by counting host and workspace, the most refused first."""
    found: dict[tuple[str, str], list[Line]] = {}
    for line in lines:
        if line.event == COUNTED:
            key = (line.host, str(line.fields.get("workspace", "")))
            found.setdefault(key, []).append(line)
    uses = [_use(*key, decided) for key, decided in found.items()]
    return sorted(uses, key=lambda use: (-use.refused, -use.asked))


def _use(counter: str, workspace: str, decided: list[Line]) -> QuotaUse:
    fields = [line.fields for line in decided]
    refused = [item for item in fields if not item.get("reserved")]
    return QuotaUse(
        counter=counter,
        workspace=workspace,
        asked=len(fields),
        refused=len(refused),
        kept=sum(bool(item.get("retry_reserved")) for item in refused),
        longest_wait=max(float(item.get("waited") or 0.0) for item in fields),
        least_left=min(
            float(item.get("left") or 0) / max(1.0, float(item.get("of") or 1))
            for item in fields
        ),
    )
