"""Reads and writes answers so that what they hold is counted and bounded."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import web

from caperridge.listening.bodies import MAX_WAIT_S, connection_of

# An answer is held while it is received and copied, and then once until it is read.
COPIES = 2
# So many answers are read from elsewhere at once before each needs memory for it.
MAX_FREE_READS = 8
# Written at once; the event loop's transport copies what the client doesn't read yet.
PIECE_BYTES = 32 * 2**10


async def reserve_answer(request: web.Request, size: int) -> None:
    """Take memory for an answer that is about to be received; wait until there is some.

    Args:
        request: that is answered; its deadline has to end the wait.
        size: of the answer, or of what it has grown by, in bytes.
    """
    connection = connection_of(request)
    if connection is not None:
        await connection.memory.take_answer_when_free(connection, COPIES * size)


class AnswerReads:
    """Bounds the answers that are read from elsewhere before their size is known.

    Args:
        size: largest one with all of its copies, in bytes.
    """

    __slots__ = ("_reading", "_size")

    def __init__(self, size: int) -> None:
        self._size = size
        self._reading = 0

    @contextlib.asynccontextmanager
    async def reading(self, request: web.Request) -> AsyncIterator[bool]:
        """Yield whether there is memory for an answer while it is read.

        Args:
            request: that is answered; it holds nothing else.
        """
        connection = connection_of(request)
        self._reading += 1
        needed = connection is not None and self._reading > MAX_FREE_READS
        try:
            if connection is None or not needed:
                yield True
                return
            until = asyncio.get_running_loop().time() + MAX_WAIT_S
            yield await connection.memory.take_until(
                connection, self._size, True, until
            )
        finally:
            self._reading -= 1
            if connection is not None and needed:
                connection.memory.release(connection, connection.idle_bytes)


class PiecewiseResponse(web.Response):
    """A whole response whose body is written as the client reads it, and then freed.

    The HTTP library keeps the last response of a connection until the next request.
    """

    async def write_eof(self, data: bytes = b"") -> None:
        """See :class:`web.Response`."""
        body = self.body
        omitted = self._eof_sent or self._must_be_empty_body
        if not omitted and isinstance(body, bytes) and len(body) > PIECE_BYTES:
            await write_pieces(self, body)
            await web.StreamResponse.write_eof(self)
        else:
            await super().write_eof(data)
        self.body = None


async def write_pieces(response: web.StreamResponse, data: bytes) -> None:
    """Write ``data`` as the client reads it.

    Args:
        response: that was prepared.
        data: more of its body.
    """
    pieces = memoryview(data)
    for start in range(0, len(data), PIECE_BYTES):
        await response.write(pieces[start : start + PIECE_BYTES])
