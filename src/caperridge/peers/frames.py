"""Messages as frames, see :mod:`caperridge.peers.framing`, of one msgpack map each.

Some have a shorter form, see :mod:`caperridge.peers.compact`.
"""

import functools
import inspect
from typing import Any

from caperridge.peers.framing import MessageError, frame
from caperridge.peers.messages import KINDS_BY_NAME
from caperridge.records import Record, pack, unpack

MOST_HELLO_BYTES = 4096
_KIND = "is"
SPEAKER = "instance"


def encode(message: Record, own: str = "") -> bytes:
    """Return ``message`` as one frame, without the fields that have their default.

    Args:
        message: what is sent.
        own: id of the instance that sends it; the hello of the stream has said it, so
            a message of its own does not.

    Raises:
        MessageError: it is larger than a frame may be.
    """
    fields: dict[str, Any] = {_KIND: type(message).__name__}
    defaults = _defaults(type(message))
    for name in message.__slots__:
        value = getattr(message, name)
        if name == SPEAKER and value == own:
            value = ""
        if name not in defaults or defaults[name] != value:
            fields[name] = value
    return frame(pack(fields), type(message).__name__)


@functools.cache
def _defaults(kind: type[Record]) -> dict[str, Any]:
    """Return the fields that a constructor without them would set, as it sets them."""
    parameters = inspect.signature(kind).parameters.values()
    needed = [p.name for p in parameters if p.default is inspect.Parameter.empty]
    sample = kind(**dict.fromkeys(needed))
    return {
        name: getattr(sample, name) for name in kind.__slots__ if name not in needed
    }


def decode(body: bytes) -> Record | None:
    """Return the message in the body of a frame; None if its kind is not known.

    Raises:
        MessageError: it is no message, or lacks a field.
    """
    try:
        fields: Any = unpack(body)
    except (ValueError, TypeError) as error:
        raise MessageError("a frame holds no msgpack") from error
    return read_fields(fields)


def read_fields(fields: Any) -> Record | None:
    """Return the message of an unpacked body; None if its kind is not known.

    Raises:
        MessageError: it is no message, or lacks a field.
    """
    if not isinstance(fields, dict) or not isinstance(fields.get(_KIND), str):
        raise MessageError("a frame holds no map with a kind")
    kind = KINDS_BY_NAME.get(fields[_KIND])
    if kind is None:
        return None
    try:
        return kind.from_map(fields)
    except TypeError as error:
        raise MessageError(f"{fields[_KIND]}: {error}") from error
