"""A stream for log lines that never blocks and never floods.

Lines beyond a budget a second are dropped and counted; so are lines for which a reader
that has stopped reading leaves no room. The next line that gets through says how many.
"""

import os
import time
from collections.abc import Callable

import orjson

# A busy instance writes about 30 lines a second; a storm may write ten times that.
LINES_PER_S = 300
BURST_LINES = 600
# What may wait for a reader that does not read: about 1,000 lines.
MOST_WAITING_BYTES = 256 * 2**10


class BoundedStream:
    """Writes whole lines to a file descriptor.

    Args:
        descriptor: written to; it is made non-blocking.
        clock: seconds that only go up.
        lines_per_s: budget.
        burst_lines: that may be saved up.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
    ) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._rate = lines_per_s
        self._burst = burst_lines
        self._allowed = float(burst_lines)
        self._refilled_at = clock()
        self._waiting = bytearray()
        self._unsaid = 0

    def write(self, text: str) -> int:
        """Write ``text``, one or more whole lines, or drop it."""
        data = text.encode("utf-8", "replace")
        self._refill()
        if self._allowed < 1 or len(self._waiting) + len(data) > MOST_WAITING_BYTES:
            self.dropped += 1
            self._unsaid += 1
            self._send()
            return len(text)
        if self._unsaid:
            self._waiting += _dropped_line(self._unsaid)
            self._unsaid = 0
        self._allowed -= 1
        self._waiting += data
        self._send()
        return len(text)

    def flush(self) -> None:
        """Send what waits, as far as the reader takes it."""
        self._send()

    def _refill(self) -> None:
        now = self._clock()
        since = now - self._refilled_at
        self._refilled_at = now
        self._allowed = min(self._burst, self._allowed + since * self._rate)

    def _send(self) -> None:
        while self._waiting:
            try:
                sent = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read this; there is nowhere left to say so.
                self._waiting.clear()
                return
            del self._waiting[:sent]


def _dropped_line(count: int) -> bytes:
    line = {"level": "warning", "message": "log lines dropped", "count": count}
    return orjson.dumps(line) + b"\n"
