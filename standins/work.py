"""One request that an engine's stand-in works on, and its events so far."""

import json
import time
from typing import Any

import curio

from standins import answers

BYTES_PER_TOKEN = 4


class Work:
    """One request being worked on; its events are kept so that it can be resumed."""

    def __init__(self, request_id: str, body: dict[str, Any], *, chat: bool) -> None:
        self.request_id = request_id
        self.prompt = answers.prompt_text(body)
        self.max_tokens = answers.max_tokens(body)
        self.chat = chat
        self.cached_bytes = 0
        self.events: list[bytes] = []
        self.ended = False
        self.ended_at = 0.0
        self.task: curio.Task | None = None
        self.grown = curio.Event()

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
        text = answers.token(self.prompt, index)
        last = index == self.max_tokens - 1
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop" if last else None}
        choice |= {"delta": {"content": text}} if self.chat else {"text": text}
        self._add_event(json.dumps({"id": self.request_id, "choices": [choice]}))

    def add_end(self) -> None:
        usage = {"id": self.request_id, "choices": [], "usage": self.usage()}
        self._add_event(json.dumps(usage))
        self._add_event("[DONE]")

    def whole_answer(self) -> dict[str, Any]:
        tokens = (answers.token(self.prompt, n) for n in range(self.max_tokens))
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

    async def async_end(self) -> None:
        """Note that no more events come."""
        self.ended = True
        self.ended_at = time.monotonic()
        await self.async_wake()

    async def async_wake(self) -> None:
        """Wake all that wait for more events."""
        await self.grown.set()
        self.grown = curio.Event()

    async def async_next(self, after: int) -> list[bytes]:
        """Return the events after a number once there are any; none at the end."""
        while len(self.events) <= after and not self.ended:
            await self.grown.wait()
        return self.events[after:]

    async def async_wait(self) -> None:
        """Return when no more events come."""
        while not self.ended:
            await self.grown.wait()
