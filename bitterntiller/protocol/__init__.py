"""The Thrift messages between hosts, and their encoding."""

from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TException, TType
from thriftpy2.utils import deserialize, serialize

messages = thriftpy2.load(
    str(Path(__file__).with_name("messages.thrift")),
    module_name="bitterntiller_messages_thrift",
)

MessageKind = messages.MessageKind

_FACTORY = TCyBinaryProtocolFactory()


def _struct_name(kind_name: str) -> str:
    return "".join(part.capitalize() for part in kind_name.split("_"))


KIND_BY_TYPE: dict[type, int] = {
    getattr(messages, _struct_name(name)): kind
    for name, kind in MessageKind._NAMES_TO_VALUES.items()
}
TYPE_BY_KIND: dict[int, type] = {kind: cls for cls, kind in KIND_BY_TYPE.items()}


# The codec does not check lengths: a negative one raises SystemError, a huge one
# MemoryError.
_DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
    SystemError,
    MemoryError,
)


class MalformedMessageError(ValueError):
    """Raised for bytes that are not a message of the expected type."""


def encode(message: Any) -> bytes:
    """Encode a message."""
    return serialize(message, _FACTORY)


def decode(cls: type, data: bytes) -> Any:
    """Decode a message of the given type.

    Raise MalformedMessageError if the bytes are truncated, are of another type or lack
    a required field.
    """
    message = cls()
    try:
        deserialize(message, data, _FACTORY)
    except _DECODE_ERRORS as error:
        raise MalformedMessageError(f"not a {cls.__name__}: {error}") from error
    _check_required(message)
    return message


def _check_required(message: Any) -> None:
    """Reject what the codec accepts: missing fields and strings that aren't UTF-8."""
    for field in message.thrift_spec.values():
        kind, name, required = field[0], field[1], field[-1]
        value = getattr(message, name)
        if value is None and required:
            raise MalformedMessageError(f"{type(message).__name__} lacks {name}")
        if kind == TType.STRING and isinstance(value, bytes):
            raise MalformedMessageError(f"{type(message).__name__}.{name}: not UTF-8")
        if kind == TType.STRUCT and value is not None:
            _check_required(value)
        if kind == TType.LIST and value and hasattr(value[0], "thrift_spec"):
            for item in value:
                _check_required(item)
