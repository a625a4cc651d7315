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
