"""Turns the messages of one stream into frames, as short as the other end reads."""

from caperridge.peers.compact import (
    COMPACT_PROTOCOL,
    NamesIn,
    NamesOut,
    is_compact,
    pack_compact,
    read_compact,
    with_names,
)
from caperridge.peers.frames import encode, read_fields
from caperridge.peers.framing import MessageError, frame
from caperridge.records import Record, unpack


class NamesError(Exception):
    """The two ends no longer agree on names; the stream is of no further use."""


class Codec:
    """Both directions of one stream.

    Args:
        own: id of the instance at this end.
        protocol: of the other end.
    """

    __slots__ = ("_compact", "_names_in", "_names_out", "_own")

    def __init__(self, own: str, protocol: int) -> None:
        self._own = own
        self._compact = protocol >= COMPACT_PROTOCOL
        self._names_in = NamesIn()
        self._names_out = NamesOut()

    def encode(self, message: Record) -> bytes:
        """Return ``message`` as one frame.

        Raises:
            MessageError: it is larger than a frame may be.
        """
        if not self._compact or not is_compact(message):
            return encode(message, self._own)
        short = with_names(message, self._names_out)
        return frame(pack_compact(short, self._own), type(message).__name__)

    def decode(self, body: bytes) -> Record | None:
        """Return the message in the body of a frame; None if its kind is not known.

        Raises:
            MessageError: it is no message, or lacks a field.
            NamesError: names in it cannot be told.
        """
        try:
            parts = unpack(body)
        except (ValueError, TypeError) as error:
            raise MessageError("a frame holds no msgpack") from error
        if not isinstance(parts, list):
            return read_fields(parts)
        try:
            message = read_compact(parts)
            if message is None:
                return None
            return with_names(message, self._names_in)
        except (ValueError, TypeError, IndexError) as error:
            raise NamesError(f"a short message: {error}") from error
