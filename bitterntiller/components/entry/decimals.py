"""Decimal numbers in the headers of upstreams."""

import re

_DECIMAL = re.compile(r"\s*[0-9]{1,12}(\.[0-9]{0,12})?\s*", re.ASCII)


def parse_decimal(text: str | None) -> float | None:
    """Return a number without a sign or an exponent, None if absent or malformed."""
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    return float(text)
