"""The memory that a JSON document takes once it is decoded, at most."""

_BYTES_BY_TOKEN = {b"{": 200, b"[": 72, b",": 88, b":": 120}
"""Memory of a dict, a list, a further value and a key, by the byte that the text has
for each of them."""

_BYTES_OF_ASCII = 2
_BYTES_OF_UNICODE = 10
"""Memory of a byte of text while it is decoded. A character beyond the basic plane
makes all others of its string, and of the whole text, four bytes wide."""


def max_decoded_bytes(text: bytes) -> int:
    """Return an upper bound of the memory that decoding a JSON text takes."""
    wide = not text.isascii() or b"\\u" in text
    size = len(text) * (_BYTES_OF_UNICODE if wide else _BYTES_OF_ASCII)
    return size + sum(n * text.count(token) for token, n in _BYTES_BY_TOKEN.items())
