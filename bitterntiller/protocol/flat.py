"""Check structures from unauthenticated peers before they are decoded."""

from thriftpy2.thrift import TType

from bitterntiller.protocol import MalformedMessageError

_SIZE_BY_TYPE = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
}
_FIELD_ID_BYTES = 2
_LENGTH_BYTES = 4


def check_flat(data: bytes) -> None:
    """Raise MalformedMessageError unless data is a structure of plain fields.

    The codec allocates memory for a length before it checks that the bytes exist, so
    ten bytes from an unauthenticated peer could allocate 2 GB. This function compares
    each length with the number of remaining bytes.
    """
    position = 0
    while position < len(data):
        kind = data[position]
        if kind == TType.STOP:
            return
        position = _after_value(data, position + 1 + _FIELD_ID_BYTES, kind)
    raise MalformedMessageError("the structure has no end")


def _after_value(data: bytes, position: int, kind: int) -> int:
    if kind in _SIZE_BY_TYPE:
        return position + _SIZE_BY_TYPE[kind]
    if kind != TType.STRING:
        raise MalformedMessageError(f"a field of type {kind}")
    start = position + _LENGTH_BYTES
    length = int.from_bytes(data[position:start], "big", signed=True)
    if not 0 <= length <= len(data) - start:
        raise MalformedMessageError(f"a string of {length} bytes")
    return start + length
