"""Frames on a stream between instances: a length of four bytes, then msgpack."""

import asyncio
import struct

MOST_FRAME_BYTES = 8 * 2**20
_LENGTH = struct.Struct(">I")


class FrameError(Exception):
    """What came cannot be a frame; the stream is of no further use."""


class MessageError(Exception):
    """One frame is no message; the stream can go on."""


def frame(body: bytes, kind: str) -> bytes:
    """Return ``body``, a message of ``kind``, as one frame.

    Raises:
        MessageError: it is larger than a frame may be.
    """
    if len(body) > MOST_FRAME_BYTES:
        raise MessageError(f"{kind} has {len(body)} bytes")
    return _LENGTH.pack(len(body)) + body


class FrameSplitter:
    r"""Takes bytes as they come and gives the bodies of whole frames.

    >>> splitter = FrameSplitter()
    >>> splitter.feed(frame(b"a", "x") + frame(b"bc", "x")[:5])
    [b'a']
    >>> splitter.feed(b"c")
    [b'bc']
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the bodies that ``data`` completes.

        Raises:
            FrameError: a frame is larger than one may be.
        """
        pending = self._rest + data if self._rest else data
        if len(pending) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(pending)
            if length == len(pending) - _LENGTH.size <= MOST_FRAME_BYTES:
                self._rest = b""
                return [pending[_LENGTH.size :]]  # one whole frame, as most reads bring
        bodies: list[bytes] = []
        start = 0
        while len(pending) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(pending, start)
            if length > MOST_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            end = start + _LENGTH.size + length
            if end > len(pending):
                break
            bodies.append(pending[start + _LENGTH.size : end])
            start = end
        self._rest = pending[start:]
        return bodies


async def read_body(
    reader: asyncio.StreamReader, most_bytes: int = MOST_FRAME_BYTES
) -> bytes:
    """Return the body of the next frame.

    Raises:
        FrameError: it is larger than ``most_bytes``.
        asyncio.IncompleteReadError: the stream ended.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > most_bytes:
        raise FrameError(f"a frame of {length} bytes; at most {most_bytes} are read")
    return await reader.readexactly(length)
