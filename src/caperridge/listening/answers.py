"""Writes answers so that what a client doesn't read is counted and bounded."""

from aiohttp import web

from caperridge.listening.bodies import connection_of

# An answer is held while it is received and copied, and then once until it is read.
COPIES = 2
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
        await connection.memory.answer_taken(connection, COPIES * size)


class PiecewiseResponse(web.Response):
    """A whole response whose body is written as the client reads it."""

    async def write_eof(self, data: bytes = b"") -> None:
        """See :class:`web.Response`."""
        body = self.body
        if self._eof_sent or not isinstance(body, bytes) or len(body) <= PIECE_BYTES:
            await super().write_eof(data)
            return
        await write_pieces(self, body)
        await web.StreamResponse.write_eof(self)


async def write_pieces(response: web.StreamResponse, data: bytes) -> None:
    """Write ``data`` as the client reads it.

    Args:
        response: that was prepared.
        data: more of its body.
    """
    pieces = memoryview(data)
    for start in range(0, len(data), PIECE_BYTES):
        await response.write(pieces[start : start + PIECE_BYTES])
