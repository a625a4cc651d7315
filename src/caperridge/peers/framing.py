"""Length-prefixed framing: a length of four bytes, big-endian, then msgpack."""

import asyncio
import struct

MAX_FRAME_BYTES = 8 * 2**20
_LENGTH = struct.Struct(">I")


class FrameError(Exception):
    """The bytes received are not a frame; the stream must be closed."""


class MessageError(Exception):
    """A frame does not hold a valid message; the stream remains usable."""


def frame(body: bytes, kind: str) -> bytes:
    """Return ``body``, a message of ``kind``, as one frame.

    Raises:
        MessageError: it exceeds the maximum size of a frame.
    """
    if len(body) > MAX_FRAME_BYTES:
        raise MessageError(f"{kind} has {len(body)} bytes")
    return _LENGTH.pack(len(body)) + body


class FrameSplitter:
    r"""Splits received bytes into the bodies of whole frames.

    >>> splitter = FrameSplitter()
    >>> splitter.feed(frame(b"a", "x") + frame(b"bc", "x")[:5])
    [b'a']
    >>> splitter.feed(b"c")
    [b'bc']

    Attributes:
        max_bytes: largest body of a frame.
    """

    __slots__ = ("_buffer", "max_bytes")

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._buffer = b""
        self.max_bytes = max_bytes

    @property
    def pending_bytes(self) -> int:
        """Size of the part of a frame that was received."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add ``data``; return the bodies of the frames that it completes.

        Raises:
            FrameError: a frame exceeds the maximum size.
        """
        pending = self._buffer + data if self._buffer else data
        if len(pending) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(pending)
            if length == len(pending) - _LENGTH.size <= self.max_bytes:
                self._buffer = b""
                return [pending[_LENGTH.size :]]  # most reads return exactly one frame
        bodies: list[bytes] = []
        start = 0
        while len(pending) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(pending, start)
            if length > self.max_bytes:
                raise FrameError(f"a frame of {length} bytes")
            end = start + _LENGTH.size + length
            if end > len(pending):
                break
            bodies.append(pending[start + _LENGTH.size : end])
            start = end
        self._buffer = pending[start:]
        return bodies


async def read_body(
    reader: asyncio.StreamReader, max_bytes: int = MAX_FRAME_BYTES
) -> bytes:
    """Return the body of the next frame.

    Raises:
        FrameError: it is larger than ``max_bytes``.
        asyncio.IncompleteReadError: the stream ended.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > max_bytes:
        raise FrameError(f"a frame of {length} bytes; at most {max_bytes} are read")
    return await reader.readexactly(length)
