"""Expected responses of the stand-ins.

They follow from the request alone, so that a test can check that a response is
complete and belongs to its request.
"""

import hashlib
import json
from typing import Any

DEFAULT_MAX_TOKENS = 16


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt text of a chat or completion request."""
    if "messages" in body:
        messages = body["messages"]
        return "\n".join(f"{m.get('role')}: {m.get('content')}" for m in messages)
    return str(body["prompt"])


def max_tokens(body: dict[str, Any]) -> int:
    """Return the number of output tokens for a request."""
    return int(body.get("max_tokens", DEFAULT_MAX_TOKENS))


def token(prompt: str, index: int) -> str:
    """Return one output token for a prompt; index counts from 0."""
    return hashlib.sha256(f"{index}:{prompt}".encode()).hexdigest()[:6] + " "


def engine_text(body: dict[str, Any]) -> str:
    """Return the complete text that an engine generates for a request."""
    prompt = prompt_text(body)
    return "".join(token(prompt, index) for index in range(max_tokens(body)))


def digest(body: bytes) -> str:
    """Return the digest that identifies a body in a record file."""
    return hashlib.sha256(body).hexdigest()[:32]


def plain_response(method: str, target: str, body: bytes) -> bytes:
    """Return the response body of the plain service for a request."""
    document = {"method": method, "target": target, "digest": digest(body)}
    return json.dumps(document).encode() + b"\n"
