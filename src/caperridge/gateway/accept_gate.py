"""Load shedding at the listener: an overloaded instance closes new connections unread.

A caller whose request was not read may send it to another instance, whatever the kind
of the request; one that was read and is answered too late cannot be moved any more. So
an instance to which most new connections come takes as many as it can serve.
"""

import asyncio
import math
from collections.abc import Callable

from caperridge.log import logger

log = logger(__name__)

TICK_INTERVAL_S = 0.05
# Callers expect the next event within 0.2 s.
MAX_LOOP_DELAY_S = 0.1
# A process that was suspended is late once, which is no overload.
MAX_OBSERVED_S = 0.5
DELAY_GAIN = 0.3
# With fewer requests in progress the delay has other causes, which other instances may
# have as well, and taking no more of them would not shorten it.
MIN_RUNNING = 64
# An instance that takes no connection at all seems to be out of service.
ADMIT_EVERY = 8


class AcceptGate:
    """Decides whether a new connection is served.

    Args:
        running: returns how many requests are being answered.
    """

    def __init__(self, running: Callable[[], int]) -> None:
        self._running = running
        self._delay_s = 0.0
        self._arrived = 0
        self._closed = 0
        self._overloaded_at_tick = False
        self._tick_due = math.inf
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start observing the delay of the event loop."""
        self._set_timer(asyncio.get_running_loop())

    def close(self) -> None:
        """Stop observing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @property
    def is_overloaded(self) -> bool:
        """Whether requests wait for the event loop and there are many of them."""
        # A tick that is overdue would be observed only after the connections that have
        # arrived meanwhile.
        overdue_s = asyncio.get_running_loop().time() - self._tick_due
        delay_s = max(self._delay_s, overdue_s)
        return delay_s > MAX_LOOP_DELAY_S and self._running() >= MIN_RUNNING

    def observe(self, delay_s: float) -> None:
        """Record by how much the event loop was late."""
        observed_s = min(delay_s, MAX_OBSERVED_S)
        self._delay_s += DELAY_GAIN * (observed_s - self._delay_s)

    def admit(self) -> bool:
        """Return whether to serve one more connection."""
        if not self.is_overloaded:
            return True
        self._arrived += 1
        if self._arrived % ADMIT_EVERY == 0:
            return True
        self._closed += 1
        return False

    def protocols(
        self, serve: Callable[[], asyncio.BaseProtocol]
    ) -> Callable[[], asyncio.BaseProtocol]:
        """Return a factory of protocols that are served or closed unread.

        Args:
            serve: the factory of the protocols that serve a connection.
        """

        def protocol() -> asyncio.BaseProtocol:
            return serve() if self.admit() else _ClosingProtocol()

        return protocol

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        due = self._tick_due = loop.time() + TICK_INTERVAL_S
        self._timer = loop.call_at(due, self._tick, loop, due)

    def _tick(self, loop: asyncio.AbstractEventLoop, due: float) -> None:
        self.observe(loop.time() - due)
        self._log_change()
        self._set_timer(loop)

    def _log_change(self) -> None:
        overloaded = self.is_overloaded
        if overloaded == self._overloaded_at_tick:
            return
        self._overloaded_at_tick = overloaded
        if overloaded:
            delay_s = round(self._delay_s, 3)
            log.warning("overloaded", delay_s=delay_s, running=self._running())
            return
        log.info("no longer overloaded", connections_closed=self._closed)
        self._closed = 0


class _ClosingProtocol(asyncio.Protocol):
    """Closes its connection before anything is read from it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :meth:`asyncio.BaseProtocol.connection_made`."""
        assert isinstance(transport, asyncio.WriteTransport)
        transport.abort()
