"""A request in progress at a stand-in engine, and its events so far."""

import json
import time
from typing import Any

import curio

from standins import responses

BYTES_PER_TOKEN = 4


class Generation:
    """A request in progress; its events are kept so that a stream can be resumed."""

    def __init__(self, request_id: str, body: dict[str, Any], *, chat: bool) -> None:
        self.request_id = request_id
        self.prompt = responses.prompt_text(body)
        self.max_tokens = responses.max_tokens(body)
        self.chat = chat
        self.cached_bytes = 0
        self.events: list[bytes] = []
        self.finished = False
        self.finished_at = 0.0
        self.task: curio.Task | None = None
        self.updated = curio.Event()

    def prompt_tokens(self) -> int:
        return max(1, len(self.prompt.encode()) // BYTES_PER_TOKEN)

    def usage(self) -> dict[str, Any]:
        return {
            "prompt_tokens": self.prompt_tokens(),
            "completion_tokens": self.max_tokens,
            "total_tokens": self.prompt_tokens() + self.max_tokens,
            "prompt_tokens_details": {
                "cached_tokens": self.cached_bytes // BYTES_PER_TOKEN
            },
        }

    def add_token(self, index: int) -> None:
        text = responses.token(self.prompt, index)
        last = index == self.max_tokens - 1
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop" if last else None}
        choice |= {"delta": {"content": text}} if self.chat else {"text": text}
        self._add_event(json.dumps({"id": self.request_id, "choices": [choice]}))

    def add_final_events(self) -> None:
        usage = {"id": self.request_id, "choices": [], "usage": self.usage()}
        self._add_event(json.dumps(usage))
        self._add_event("[DONE]")

    def response_document(self) -> dict[str, Any]:
        tokens = (responses.token(self.prompt, n) for n in range(self.max_tokens))
        text = "".join(tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {"id": self.request_id, "choices": [choice], "usage": self.usage()}

    def _add_event(self, data: str) -> None:
        number = len(self.events) + 1
        self.events.append(f"id: {number}\ndata: {data}\n\n".encode())

    async def async_finish(self) -> None:
        """Mark the generation as finished."""
        self.finished = True
        self.finished_at = time.monotonic()
        await self.async_notify()

    async def async_notify(self) -> None:
        """Wake all tasks that wait for events."""
        await self.updated.set()
        self.updated = curio.Event()

    async def async_events_after(self, after: int) -> list[bytes]:
        """Wait for events after a number and return them; empty once finished."""
        while len(self.events) <= after and not self.finished:
            await self.updated.wait()
        return self.events[after:]

    async def async_wait_finished(self) -> None:
        """Wait until the generation is finished."""
        while not self.finished:
            await self.updated.wait()
