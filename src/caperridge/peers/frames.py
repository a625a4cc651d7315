"""Encodes messages as frames that hold one msgpack map each.

:mod:`caperridge.peers.framing` defines the frames, and
:mod:`caperridge.peers.compact` a shorter encoding of frequent messages.
"""

import functools
import inspect
from typing import Any

from caperridge.peers.framing import MessageError, frame
from caperridge.peers.messages import KINDS_BY_NAME
from caperridge.records import Record, pack, unpack

MAX_HELLO_BYTES = 4096
_KIND_FIELD = "is"
SENDER_FIELD = "instance"


def encode(message: Record, own: str = "") -> bytes:
    """Return ``message`` as one frame, without fields that equal their default.

    Args:
        message: the message to send.
        own: id of the sending instance. The hello of the stream carries it already, so
            it is omitted from messages of this instance.

    Raises:
        MessageError: it exceeds the maximum size of a frame.
    """
    fields: dict[str, Any] = {_KIND_FIELD: type(message).__name__}
    defaults = _defaults(type(message))
    for name in message.__slots__:
        value = getattr(message, name)
        if name == SENDER_FIELD and value == own:
            value = ""
        if name not in defaults or defaults[name] != value:
            fields[name] = value
    return frame(pack(fields), type(message).__name__)


@functools.cache
def _defaults(kind: type[Record]) -> dict[str, Any]:
    """Return the optional fields with the values that the constructor sets."""
    parameters = inspect.signature(kind).parameters.values()
    required = [p.name for p in parameters if p.default is inspect.Parameter.empty]
    sample = kind(**dict.fromkeys(required))
    return {
        name: getattr(sample, name) for name in kind.__slots__ if name not in required
    }


def decode(body: bytes) -> Record | None:
    """Return the message in the body of a frame; None if its kind is unknown.

    Raises:
        MessageError: it is not a message, or lacks a field.
    """
    try:
        fields: Any = unpack(body)
    except (ValueError, TypeError) as error:
        raise MessageError("a frame holds no msgpack") from error
    return read_fields(fields)


def read_fields(fields: Any) -> Record | None:
    """Return the message of an unpacked body; None if its kind is unknown.

    Raises:
        MessageError: it is not a message, or lacks a field.
    """
    if not isinstance(fields, dict) or not isinstance(fields.get(_KIND_FIELD), str):
        raise MessageError("a frame holds no map with a kind")
    kind = KINDS_BY_NAME.get(fields[_KIND_FIELD])
    if kind is None:
        return None
    try:
        return kind.from_map(fields)
    except TypeError as error:
        raise MessageError(f"{fields[_KIND_FIELD]}: {error}") from error
