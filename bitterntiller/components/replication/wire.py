"""Conversion of replication messages to Thrift structures and back."""

from typing import Any

from bitterntiller.protocol import messages as wire

from . import models
from .records import entries_from_wire, entries_to_wire

_PAIRS = (
    (models.PreVote, wire.PreVote),
    (models.PreVoteReply, wire.PreVoteReply),
    (models.Vote, wire.Vote),
    (models.VoteReply, wire.VoteReply),
    (models.TimeoutNow, wire.TimeoutNow),
    (models.Append, wire.Append),
    (models.AppendReply, wire.AppendReply),
    (models.SnapshotPiece, wire.SnapshotPiece),
    (models.SnapshotReply, wire.SnapshotReply),
    (models.ReturnCheck, wire.ReturnCheck),
    (models.ReturnCheckReply, wire.ReturnCheckReply),
)
_WIRE_BY_MODEL = dict(_PAIRS)
_MODEL_BY_WIRE = {cls: model for model, cls in _PAIRS}

WIRE_TYPES: tuple[type, ...] = tuple(_MODEL_BY_WIRE)


def to_wire(message: models.Message) -> Any:
    """Convert a message to its Thrift structure."""
    fields = message._asdict()
    if "entries" in fields:
        fields["entries"] = entries_to_wire(fields["entries"])
    return _WIRE_BY_MODEL[type(message)](**fields)


def from_wire(structure: Any) -> models.Message:
    """Convert a Thrift structure to a message; absent fields get defaults."""
    model = _MODEL_BY_WIRE[type(structure)]
    fields = {name: getattr(structure, name) for name in model._fields}
    fields = {name: value for name, value in fields.items() if value is not None}
    if "entries" in fields:
        fields["entries"] = entries_from_wire(fields["entries"])
    return model(**fields)
