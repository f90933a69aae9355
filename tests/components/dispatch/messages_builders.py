"""Builders for the messages that an owner receives, and for its configuration."""

from typing import Any

from bitterntiller.components.config.models import (
    Config,
    Selector,
    Service,
    Tier,
    Workspace,
)
from bitterntiller.protocol import messages

POOL = "canopy-llm"


def config(version: int = 1, workspace_selector: Selector | None = None) -> Config:
    """Return a configuration of one pool, one tier and one workspace."""
    selector = workspace_selector or Selector()
    service = Service(POOL, "engine", ("/v1",), (), Selector(), {})
    tier = Tier("gold", 0, 30_000, Selector())
    workspace = Workspace("foresters", (), "gold", (POOL,), selector, {})
    return Config(
        version,
        {POOL: service},
        {"gold": tier},
        {"foresters": workspace},
        {},
    )


def register(request_id: str, host: str = "bole-1", **changes: Any) -> Any:
    """Return the registration of a small request with a deadline in 30 seconds."""
    fields = {
        "request_id": request_id,
        "pool": POOL,
        "workspace": "foresters",
        "tier": "gold",
        "prompt_tokens": 200,
        "output_tokens": 50,
        "deadline_in_ms": 30_000,
        "prefix_hashes": [],
        "entry_host": host,
        "waited_ms": 0,
        "tried": [],
    }
    return messages.Register(**(fields | changes))


def running(request_id: str, upstream: str, host: str = "bole-1") -> Any:
    """Return a request that runs under a grant of an earlier owner."""
    item = register(request_id, host)
    return messages.RunningItem(request=item, upstream=upstream, output_tokens=5)


def announce(name: str, slots: int, sequence: int = 1, **labels: str) -> Any:
    """Return the announcement of a ready engine."""
    return messages.Announce(
        name=name,
        pool=POOL,
        address="127.0.0.1:9001",
        incarnation=1,
        sequence=sequence,
        state="ready",
        labels=labels,
        slots=slots,
        kv_tokens=100_000,
        load=None,
        cache_events=[],
    )


def returned(request_id: str, upstream: str, reason: str, waiting: bool) -> Any:
    return messages.Returned(
        request_id=request_id,
        pool=POOL,
        upstream=upstream,
        reason=reason,
        still_waiting=waiting,
    )
