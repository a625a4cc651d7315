"""Reading the streams of all peers together while much comes on them.

In a large fleet messages come a few milliseconds apart, each on a connection of its
own. A turn of the event loop for each costs several times what its message does, so
while they come that fast they are left for a moment and then read in one turn.
"""

import asyncio
import os
import select
from collections.abc import Callable

# How long a message may wait that comes soon after another. Those that come 5 ms apart,
# as in a zone of 21 instances, then need a quarter of the turns. A slot is asked for,
# granted and used by three messages, within the 80 ms that a grant holds; and whoever
# places a request reads first.
READ_INTERVAL_S = 0.02
READ_BYTES = 256 * 2**10
# Messages of 20 ms have some kilobytes together; a read of this size is a part of a
# message so large that waiting between its parts would add up.
LARGE_READ_BYTES = 32 * 2**10

Received = Callable[[bytes], None]


class PacedReader:
    """Reads connections that the event loop does not watch itself.

    Attributes:
        read_at: when it last began to read, on the loop's clock.

    Args:
        after: called after connections were read.
    """

    def __init__(self, after: Callable[[], None]) -> None:
        self.read_at = float("-inf")
        self._after = after
        self._loop = asyncio.get_running_loop()
        self._poll = select.epoll()
        self._received_by_descriptor: dict[int, Received] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._reading = False
        self._large = False  # whether something large was read last
        self._loop.add_reader(self._poll.fileno(), self._readable)

    def close(self) -> None:
        """Stop reading."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._loop.remove_reader(self._poll.fileno())
        self._poll.close()

    def add(self, descriptor: int, received: Received) -> None:
        """Have ``received`` called with what comes; with nothing at the end.

        Args:
            descriptor: of a connection that does not block.
            received: called with each read.
        """
        self._received_by_descriptor[descriptor] = received
        self._poll.register(descriptor, select.EPOLLIN)

    def remove(self, descriptor: int) -> None:
        """Read a connection no more."""
        known = self._received_by_descriptor.pop(descriptor, None) is not None
        if known and not self._poll.closed:
            self._poll.unregister(descriptor)

    def read_now(self) -> None:
        """Read what waits, for who is about to act on it."""
        if self._timer is not None and not self._reading:
            self._read()

    def _readable(self) -> None:
        """Read what came after a rest; leave what comes next if the rest was short."""
        rested_s = self._loop.time() - self.read_at
        self._read()
        if rested_s < READ_INTERVAL_S and not self._large:
            self._loop.remove_reader(self._poll.fileno())
            self._timer = self._loop.call_later(READ_INTERVAL_S, self._read_again)

    def _read_again(self) -> None:
        """Read what came meanwhile; have the loop watch again if that was nothing.

        It also watches while a large message comes.
        """
        came = True
        try:
            came = self._read()
        finally:  # whatever fails here, peers are heard again
            if came and not self._large:
                self._timer = self._loop.call_later(READ_INTERVAL_S, self._read_again)
            else:
                self._timer = None
                self._loop.add_reader(self._poll.fileno(), self._readable)

    def _read(self) -> bool:
        """Read each connection on which something came; return whether one did."""
        self.read_at = self._loop.time()
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
        self._after()
        return True

    def _read_one(self, descriptor: int) -> None:
        received = self._received_by_descriptor.get(descriptor)
        if received is None:
            return
        try:
            data = os.read(descriptor, READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._large = self._large or len(data) >= LARGE_READ_BYTES
        received(data)
