"""What the stand-ins answer, so that a tester can tell a whole and true answer."""

import hashlib
import json
from typing import Any

DEFAULT_MAX_TOKENS = 16


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt of a chat or completion request as the engine sees it."""
    if "messages" in body:
        messages = body["messages"]
        return "\n".join(f"{m.get('role')}: {m.get('content')}" for m in messages)
    return str(body["prompt"])


def max_tokens(body: dict[str, Any]) -> int:
    """Return how many tokens the answer to a request has."""
    return int(body.get("max_tokens", DEFAULT_MAX_TOKENS))


def token(prompt: str, index: int) -> str:
    """Return one token of the answer to a prompt; index counts from 0."""
    return hashlib.sha256(f"{index}:{prompt}".encode()).hexdigest()[:6] + " "


def engine_text(body: dict[str, Any]) -> str:
    """Return the whole text that an engine answers to a request."""
    prompt = prompt_text(body)
    return "".join(token(prompt, index) for index in range(max_tokens(body)))


def digest(body: bytes) -> str:
    """Return the digest by which a body stands in a record file."""
    return hashlib.sha256(body).hexdigest()[:32]


def plain_response(method: str, target: str, body: bytes) -> bytes:
    """Return the body that the plain service answers to a request."""
    document = {"method": method, "target": target, "digest": digest(body)}
    return json.dumps(document).encode() + b"\n"
