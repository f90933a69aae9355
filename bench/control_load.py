"""Claims and configuration changes for the measurements of control."""

import uuid
from typing import Any

import curio

from bench.control_setup import (
    ControlDeployment,
    config_bytes,
)
from bitterntiller.protocol import messages


def make_claim(key: str) -> Any:
    """Return the message that takes a claim."""
    return messages.Claim(
        action="take",
        workspace=f"w{key[0]}",
        key=key,
        digest="0" * 64,
        host="bench",
        incarnation="bench",
        upstream="e1",
        request_id=key,
        outcome="",
        http_status=0,
        address="127.0.0.1:1",
    )


def make_change(base: int, number: int, workspaces: int = 0) -> Any:
    """Return the message of a change with a unique id."""
    return messages.Change(
        change_id=uuid.uuid4().hex,
        base_version=base,
        config=config_bytes(number, workspaces),
    )


async def async_take_claims(deployment: ControlDeployment, count: int) -> None:
    """Take a number of claims, 256 at a time."""
    client = deployment.make_client()
    left = iter(range(count))

    async def async_worker() -> None:
        for _ in left:
            await client.async_call_leader(make_claim(uuid.uuid4().hex), 5.0)

    async with curio.TaskGroup() as group:
        for _ in range(256):
            await group.spawn(async_worker)
