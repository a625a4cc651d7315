"""Batched reading of all peers' streams under load (interrupt coalescing).

In a large fleet messages arrive a few milliseconds apart, each on its own connection.
An iteration of the event loop for each costs several times what the message does, so
while they arrive that fast, reading is delayed and done for all in one iteration.
"""

import asyncio
import os
import select
from collections.abc import Callable

# Longest delay of a message that arrives soon after another. With messages 5 ms apart,
# as in a zone of 21 instances, this takes a quarter of the iterations. A slot is
# requested, granted and used by three messages within the 80 ms that a grant lasts, and
# the placement of a request reads first.
READ_INTERVAL_S = 0.02
MAX_READ_BYTES = 256 * 2**10
# Messages of 20 ms add up to some kilobytes; a read of this size is part of a message
# so large that delays between its parts would add up.
LARGE_READ_BYTES = 32 * 2**10

DataCallback = Callable[[bytes], None]


class PacedReader:
    """Reads connections in place of the event loop.

    Attributes:
        last_read_at: when the last read began, on the loop's clock.

    Args:
        after_read: called after connections were read.
    """

    def __init__(self, after_read: Callable[[], None]) -> None:
        self.last_read_at = float("-inf")
        self._after_read = after_read
        self._loop = asyncio.get_running_loop()
        self._poll = select.epoll()
        self._callbacks_by_descriptor: dict[int, DataCallback] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._reading = False
        self._large = False  # whether the last read included a large one
        self._loop.add_reader(self._poll.fileno(), self._on_readable)

    def close(self) -> None:
        """Stop reading."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._loop.remove_reader(self._poll.fileno())
        self._poll.close()

    def add(self, descriptor: int, callback: DataCallback) -> None:
        """Call ``callback`` with what is received; with no bytes at the end.

        Args:
            descriptor: of a non-blocking connection.
            callback: called with the bytes of each read.
        """
        self._callbacks_by_descriptor[descriptor] = callback
        self._poll.register(descriptor, select.EPOLLIN)

    def remove(self, descriptor: int) -> None:
        """Stop reading a connection."""
        known = self._callbacks_by_descriptor.pop(descriptor, None) is not None
        if known and not self._poll.closed:
            self._poll.unregister(descriptor)

    def read_now(self) -> None:
        """Read what has arrived, for a caller that is about to act on it."""
        if self._timer is not None and not self._reading:
            self._read()

    def _on_readable(self) -> None:
        """Read; delay the next read if the last one was within the interval."""
        idle_s = self._loop.time() - self.last_read_at
        self._read()
        if idle_s < READ_INTERVAL_S and not self._large:
            self._loop.remove_reader(self._poll.fileno())
            self._timer = self._loop.call_later(READ_INTERVAL_S, self._read_on_timer)

    def _read_on_timer(self) -> None:
        """Read what arrived meanwhile; return to the event loop if that was nothing.

        The event loop also takes over while a large message arrives.
        """
        received = True
        try:
            received = self._read()
        finally:  # peers must be read again whatever fails here
            if received and not self._large:
                self._timer = self._loop.call_later(
                    READ_INTERVAL_S, self._read_on_timer
                )
            else:
                self._timer = None
                self._loop.add_reader(self._poll.fileno(), self._on_readable)

    def _read(self) -> bool:
        """Read each connection that has data; return whether one had."""
        self.last_read_at = self._loop.time()
        self._large = False
        ready = self._poll.poll(0)
        if not ready:
            return False
        self._reading = True
        try:
            for descriptor, _ in ready:
                self._read_one(descriptor)
        finally:
            self._reading = False
        self._after_read()
        return True

    def _read_one(self, descriptor: int) -> None:
        callback = self._callbacks_by_descriptor.get(descriptor)
        if callback is None:
            return
        try:
            data = os.read(descriptor, MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._large = self._large or len(data) >= LARGE_READ_BYTES
        callback(data)
