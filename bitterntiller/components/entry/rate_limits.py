"""The rates that upstreams name in their answers."""

import math

MAX_RATE = 1_000_000.0
"""Requests a second above which a limit bounds nothing."""

MAX_CHARACTERS = 32


def parse_rate(text: str | None) -> float | None:
    """Return a limit in requests a second, None for no limit or no such number."""
    if text is None or len(text) > MAX_CHARACTERS or not text.isascii():
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    if not math.isfinite(rate) or rate < 0 or rate > MAX_RATE:
        return None
    return rate
