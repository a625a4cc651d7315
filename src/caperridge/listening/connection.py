"""One connection of a client: reads it in small pieces and counts what it holds.

Stands between the transport and the protocol of the HTTP library, which bounds a line,
a body it buffers and a queue of requests, but not what stands around them, and neither
the time nor the sum over all connections.
"""

import asyncio
from typing import Any, cast

from aiohttp import web_protocol

from caperridge.listening.guard import (
    READ_BYTES,
    Client,
    ConnectionGuard,
    Listening,
)
from caperridge.listening.memory import CONNECTION_BYTES, MemoryBudget
from caperridge.listening.transport import PausableTransport

# What the library and the kernel may buffer of a body that nobody reads yet.
RECEIVING_BYTES = 96 * 2**10
# Bytes of framing that are allowed for each byte of a body that comes in chunks.
FRAMING_BYTES_PER_BYTE = 16
# Longest read while a body has more framing than content, which costs the parser many
# times what content does.
COSTLY_READ_BYTES = 4 * 2**10
# Unsent bytes at which the writer of an answer waits.
MAX_UNSENT_BYTES = 32 * 2**10

_PHRASES_BY_STATUS = {
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
}


class BodyCutError(web_protocol.RequestPayloadError):
    """The rest of a body is not read.

    Attributes:
        status: of the answer that says why.
        reason: for the caller and the log.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class GuardedConnection(asyncio.BufferedProtocol, Client):
    """Passes what arrives to the library and bounds what it costs.

    Args:
        handler: protocol of the library.
        guard: of all connections.
        listening: listener that accepted it.
        greeting: that was counted until the TLS handshake was complete; None for a
            connection without TLS.
    """

    def __init__(
        self,
        handler: web_protocol.RequestHandler,
        guard: ConnectionGuard,
        listening: Listening,
        greeting: Client | None = None,
    ) -> None:
        idle_bytes = CONNECTION_BYTES if greeting is None else greeting.idle_bytes
        Client.__init__(self, listening, idle_bytes)
        self._greeting = greeting
        self._has_tls = greeting is not None
        self._handler = handler
        self._guard = guard
        self._loop = asyncio.get_running_loop()
        self._transport: PausableTransport | None = None
        self._body: Any = None
        # Requests that were parsed, and those whose answer is complete.
        self._parsed = 0
        self._answered = 0
        # Content of the present body that was counted, and framing beyond it.
        self._content_bytes = 0
        self._framing_bytes = 0
        self._moved_at = self._loop.time()
        self._head_since: float | None = None
        self._unsent_bytes = 0
        self._costly = False
        # What arrives is dropped after a refusal; that of a head has its status here.
        self._dropping = False
        self._head_refusal = 0
        self._accepted = False
        self._unread = False

    # The transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.BufferedProtocol`."""
        assert isinstance(transport, asyncio.Transport)
        self.peer = (transport.get_extra_info("peername") or ("",))[0]
        self._transport = PausableTransport(self, transport)
        if self._greeting is not None:
            self._guard.remove(self._greeting)
            self._greeting = None
            # TLS goes on reading a paused connection up to this limit.
            transport.set_read_buffer_limits(high=READ_BYTES)  # type: ignore[attr-defined]
        if not self._guard.add(self):
            transport.abort()
            return
        self._accepted = True
        self.update_revocable()
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._handler.connection_made(cast("asyncio.Transport", self._transport))

    def connection_lost(self, exc: Exception | None) -> None:
        """See :class:`asyncio.BufferedProtocol`."""
        self._transport = None
        self._body = None
        self._guard.remove(self)
        if self._accepted:
            self._handler.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """See :class:`asyncio.BufferedProtocol`."""
        buffer = self._guard.read_buffer
        return buffer[:COSTLY_READ_BYTES] if self._costly else buffer

    def buffer_updated(self, nbytes: int) -> None:
        """See :class:`asyncio.BufferedProtocol`."""
        data = bytes(self._guard.read_buffer[:nbytes])
        self._moved_at = self._loop.time()
        if self._transport is None or self._dropping:
            return
        # The library has no hook between its parser and its handlers.
        parsed = self._handler._request_count
        self._handler.data_received(data)
        if self._handler._request_count > parsed:
            self._request_parsed(self._handler._request_count - parsed)
        else:
            self._count_framing(data)
        self.update_revocable()

    def eof_received(self) -> bool | None:
        """See :class:`asyncio.BufferedProtocol`."""
        return self._handler.eof_received()

    def pause_writing(self) -> None:
        """See :class:`asyncio.BufferedProtocol`."""
        self._moved_at = self._loop.time()
        self._unread = True
        self.update_revocable()
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """See :class:`asyncio.BufferedProtocol`."""
        self._moved_at = self._loop.time()
        self._unread = False
        self.update_revocable()
        self._handler.resume_writing()

    @property
    def memory(self) -> MemoryBudget:
        """The memory of all connections."""
        return self._guard.memory

    # What is received.

    @property
    def busy(self) -> bool:
        """Whether a request was parsed whose answer is not complete, and may run."""
        return self._parsed > self._answered and not self.refused

    @property
    def refused(self) -> bool:
        """See :attr:`Client.refused`."""
        cut = self._body is not None and self._body.exception() is not None
        return self._dropping and self._parsed - self._answered <= cut

    @property
    def receives_body(self) -> bool:
        """Whether a part of a body is missing."""
        return self._body is not None and not self._dropping and not self._body.is_eof()

    @property
    def unread(self) -> bool:
        """Whether the client has not read its answers for now."""
        return self._unread

    def stalled_s(self, now: float) -> float:
        """See :meth:`Holder.stalled_s`; a client that is not read cannot move."""
        waits = self._transport is not None and self._transport.waits
        if waits and not self.unread:
            return 0.0
        return now - self._moved_at

    def update_revocable(self) -> None:
        """Record whether the connection holds something that can be given up."""
        revocable = not self.busy or self.unread or self.receives_body
        if revocable is not self.revocable and self._transport is not None:
            self._guard.memory.set_revocable(self, revocable)

    def _request_parsed(self, count: int) -> None:
        messages = self._handler._messages
        if messages and isinstance(messages[-1][0], web_protocol._ErrInfo):
            # The library answers what it cannot parse after the requests before it, and
            # closes the connection. It tells no reader of a body that no more comes.
            if self.receives_body:
                self._cut_body(400, "its body cannot be parsed")
            self._dropping = True
            return
        self._parsed += count
        self._head_since = None
        self._framing_bytes = 0
        # The handler that takes the request from this queue has not run yet.
        self._body = messages[-1][1] if messages else None
        self._content_bytes = 0 if self._body is None else self._body.total_bytes
        if not self.receives_body:
            return
        if not self._guard.memory.take(self, RECEIVING_BYTES, False, self._moved_at):
            self._cut_body(503, "no memory is left for it")

    def _count_framing(self, data: bytes) -> None:
        """Count what is neither content of a body nor ends the head of a request."""
        content = 0
        if self._body is not None:
            content = self._body.total_bytes - self._content_bytes
            self._content_bytes += content
        framing = len(data) - content * (1 + FRAMING_BYTES_PER_BYTE)
        self._framing_bytes = max(0, self._framing_bytes + framing)
        assert self._transport is not None
        in_body = self.receives_body
        if not in_body and self._head_since is None and data.strip(b"\r\n"):
            self._head_since = self._moved_at
        if in_body and content * 2 < len(data):
            self._costly = True
            self._guard.queue_turn(self._transport)
        else:
            self._costly = False
        # The parser keeps back what it has read while it is paused.
        if self._transport.paused:
            return
        if self._framing_bytes <= self.listening.limits().header_bytes:
            return
        if in_body:
            self._cut_body(400, "its framing is larger than a head may be")
        else:
            self._refuse_head(431, "its head is too large")

    def _cut_body(self, status: int, reason: str) -> None:
        """End a body; its handler answers if it has not yet."""
        self._guard.count_closed(self, reason)
        self._dropping = True
        self._body.set_exception(BodyCutError(status, reason))

    def _refuse_head(self, status: int, reason: str) -> None:
        """Refuse an unfinished head, after the answers to the requests before it."""
        self._guard.count_closed(self, reason)
        self._dropping = True
        self._head_refusal = status
        if not self.busy:
            self._send_refusal()

    def _send_refusal(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        phrase = _PHRASES_BY_STATUS[self._head_refusal]
        self._transport.write(
            f"HTTP/1.1 {self._head_refusal} {phrase}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        self._transport.close()

    # What is answered.

    def take_answer(self, size: int) -> bool:
        """Take the memory of an answer; return False if it is to be asked for later."""
        return self.memory.take(self, size, False, self._loop.time())

    def count_answer(self, size: int) -> None:
        """Count the body of an answer, which is held until the client reads it."""
        if self._transport is not None:
            self.memory.force(self, size, self._loop.time())

    def request_ended(self) -> None:
        """Give back what a request held, when its handler has ended."""
        self._answered += 1
        self._moved_at = self._loop.time()
        if self._transport is None:
            # What its handler has taken since the connection was lost.
            self.memory.release(self)
            return
        self.memory.release(self, self.idle_bytes)
        self.update_revocable()
        if self._head_refusal and not self.busy:
            self._send_refusal()

    def revoke(self) -> None:
        """See :meth:`Holder.revoke`."""
        if self.unread:
            self.abort("others need the memory of its unread answer")
        elif self.receives_body:
            self._cut_body(503, "others need the memory of its unfinished body")
        elif not self.busy:
            self._close("others need its memory")

    def abort(self, reason: str) -> None:
        """Close the connection at once."""
        self._guard.count_closed(self, reason)
        if self._transport is not None:
            self._transport.abort()

    def make_room(self) -> None:
        """See :meth:`Client.make_room`."""
        reason = "others need its connection"
        if self.busy:
            self.abort(reason)
        else:
            self._close(reason)

    def _close(self, reason: str) -> None:
        """Close the connection after what was written to it."""
        self._guard.count_closed(self, reason)
        if self._transport is None:
            return
        # A client need not confirm the end of TLS, nor read what it has left unread
        # since the connection began to close.
        unsent = self._transport.get_write_buffer_size() > 0
        if self._transport.is_closing() or (self._has_tls and not unsent):
            self._transport.abort()
        else:
            self._transport.close()

    # Time.

    def check(self, now: float) -> None:
        """See :meth:`Client.check`."""
        if self._transport is None:
            return
        if self._transport.is_closing():
            if self.stalled_s(now) > self._guard.settings.stalled_s:
                self._transport.abort()
            return
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes < self._unsent_bytes:
            self._moved_at = now
        self._unsent_bytes = unsent_bytes
        if self.unread or self.receives_body:
            if self.stalled_s(now) > self._guard.settings.stalled_s:
                self.abort("its body or its answer does not move")
            return
        if self.busy or self._dropping:
            return
        limits = self.listening.limits()
        if self._head_since is None:
            if self.stalled_s(now) > limits.idle_s:
                self._close("it is idle")
            return
        if now - self._head_since > limits.header_s:
            self._refuse_head(408, "its head takes too long")
