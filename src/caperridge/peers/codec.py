"""Encodes and decodes the frames of one stream, compactly if the peer supports it."""

from caperridge.peers.compact import (
    COMPACT_PROTOCOL,
    NameDecoder,
    NameEncoder,
    convert_names,
    is_compact,
    pack_compact,
    read_compact,
)
from caperridge.peers.frames import encode, read_fields
from caperridge.peers.framing import MessageError, frame
from caperridge.records import Record, unpack


class NamesError(Exception):
    """The name tables of the two ends differ; the stream must be closed."""


class Codec:
    """Codec for both directions of one stream.

    Args:
        own: id of the instance at this end.
        protocol: protocol version of the other end.
    """

    __slots__ = ("_compact", "_name_decoder", "_name_encoder", "_own")

    def __init__(self, own: str, protocol: int) -> None:
        self._own = own
        self._compact = protocol >= COMPACT_PROTOCOL
        self._name_decoder = NameDecoder()
        self._name_encoder = NameEncoder()

    def encode(self, message: Record) -> bytes:
        """Return ``message`` as one frame.

        Raises:
            MessageError: it exceeds the maximum size of a frame.
        """
        if not self._compact or not is_compact(message):
            return encode(message, self._own)
        compact = convert_names(message, self._name_encoder)
        return frame(pack_compact(compact, self._own), type(message).__name__)

    def decode(self, body: bytes) -> Record | None:
        """Return the message in the body of a frame; None if its kind is unknown.

        Raises:
            MessageError: it is not a message, or lacks a field.
            NamesError: a compact message is invalid, so the name tables may differ.
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
            return convert_names(message, self._name_decoder)
        except (ValueError, TypeError, IndexError) as error:
            raise NamesError(f"invalid compact message: {error}") from error
