"""Estimate the size of a request from its body."""

import json
from typing import Any

import xxhash

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import Estimate

KIND_ENGINE = "engine"


def estimate(kind: str, body: bytes) -> Estimate:
    """Return token counts and prefix hashes of a request.

    For kinds other than engine, only the length of the body counts. A body of an engine
    request that is not a JSON object counts as an empty prompt.
    """
    if kind != KIND_ENGINE:
        return Estimate(_tokens(len(body)), 1, (), False)
    document = _parse(body)
    prompt = prompt_bytes(document)
    return Estimate(
        prompt_tokens=_tokens(len(prompt)),
        output_tokens=_output_tokens(document),
        prefix_hashes=prefix_hashes(prompt),
        streamed=document.get("stream") is True,
        part_ids=part_ids(document, prompt),
    )


def part_ids(document: dict[str, Any], prompt: bytes) -> tuple[bytes, ...]:
    """Return digests of the messages of a chat, or else of the prompt's prefixes."""
    messages = document.get("messages")
    if isinstance(document.get("prompt"), str) or not isinstance(messages, list):
        parts = [prompt[:length] for length in prefix_lengths(prompt)]
    else:
        texts = (_message_text(message) for message in messages)
        parts = [text.encode("utf-8", "surrogatepass") for text in texts]
    return tuple(xxhash.xxh3_128_digest(part) for part in parts)


def prompt_bytes(document: dict[str, Any]) -> bytes:
    """Return the text of the prompt, or of all messages in their order."""
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    messages = document.get("messages")
    if isinstance(messages, list):
        text = "\n".join(_message_text(message) for message in messages)
        return text.encode("utf-8", "surrogatepass")
    return b""


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return signed 64-bit xxh3 hashes of prefixes that double in length."""
    hashes = []
    for length in prefix_lengths(prompt):
        value = xxhash.xxh3_64_intdigest(prompt[:length])
        hashes.append(value - (1 << 64) if value >= 1 << 63 else value)
    return tuple(hashes)


def prefix_lengths(prompt: bytes) -> list[int]:
    """Return the lengths in bytes of the prefixes of a prompt, shortest first."""
    lengths = [const.MIN_PREFIX_BYTES << number for number in range(const.MAX_PREFIXES)]
    return [length for length in lengths if length <= len(prompt)]


def _parse(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}


def _message_text(message: Any) -> str:
    if not isinstance(message, dict):
        return ""
    content = message.get("content")
    return f"{message.get('role')}: {content}"


def _output_tokens(document: dict[str, Any]) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = document.get(name)
        if isinstance(value, int) and 0 < value <= const.MAX_TOKENS:
            return value
    return const.DEFAULT_OUTPUT_TOKENS


def _tokens(size: int) -> int:
    return max(1, size // const.BYTES_PER_TOKEN)
