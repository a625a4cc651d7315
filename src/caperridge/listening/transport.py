"""The transport of a connection that may be held back for more than one reason."""

import asyncio
from typing import Any


class PausableTransport:
    """A transport that is read while nothing holds it.

    Attributes:
        connection: protocol that it belongs to.

    Args:
        connection: protocol that it belongs to.
        transport: of the event loop.
    """

    def __init__(
        self, connection: asyncio.BaseProtocol, transport: asyncio.Transport
    ) -> None:
        self.connection = connection
        self.write = transport.write
        self.is_closing = transport.is_closing
        self._transport = transport
        self._paused = False
        self._awaits_turn = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    @property
    def paused(self) -> bool:
        """Whether the protocol reads no more for now."""
        return self._paused

    @property
    def waits(self) -> bool:
        """Whether it is not read for now, for any reason."""
        return self._paused or self._awaits_turn

    def pause_reading(self) -> None:
        """Stop reading until the protocol resumes it."""
        self._paused = True
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again, unless the connection waits for its turn."""
        self._paused = False
        if not self._awaits_turn:
            self._transport.resume_reading()

    def await_turn(self) -> None:
        """Stop reading until :meth:`take_turn`."""
        self._awaits_turn = True
        self._transport.pause_reading()

    def take_turn(self) -> None:
        """Read again, unless the protocol has paused reading."""
        self._awaits_turn = False
        if not self._paused:
            self._transport.resume_reading()
