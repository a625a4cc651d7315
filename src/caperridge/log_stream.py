"""Non-blocking, rate-limited (token bucket) and bounded stream for log lines.

Lines beyond the rate, and lines that do not fit into the buffer because the reader has
stopped reading, are dropped and counted. The next written line is preceded by one that
reports the count.
"""

import os
import time
from collections.abc import Callable

import orjson

# A busy instance writes about 30 lines a second; a storm may write ten times that.
LINES_PER_S = 300
BURST_LINES = 600
# Buffer for a reader that does not read; holds about 1,000 lines.
MAX_BUFFERED_BYTES = 256 * 2**10


class BoundedStream:
    """Writes whole lines to a file descriptor.

    Args:
        descriptor: file descriptor to write to; it is made non-blocking.
        clock: monotonic clock in seconds.
        lines_per_s: refill rate of the token bucket.
        burst_lines: capacity of the token bucket.
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
        self._line_budget = float(burst_lines)
        self._refilled_at = clock()
        self._buffer = bytearray()
        self._unreported = 0

    def write(self, text: str) -> int:
        """Write ``text``, one or more whole lines, or drop it; return its length."""
        data = text.encode("utf-8", "replace")
        self._refill()
        if self._line_budget < 1 or len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported += 1
            self._send()
            return len(text)
        if self._unreported:
            self._buffer += _dropped_line(self._unreported)
            self._unreported = 0
        self._line_budget -= 1
        self._buffer += data
        self._send()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        self._send()

    def _refill(self) -> None:
        now = self._clock()
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        self._line_budget = min(self._burst, self._line_budget + elapsed_s * self._rate)

    def _send(self) -> None:
        while self._buffer:
            try:
                sent = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good, and there is no other place to report it.
                self._buffer.clear()
                return
            del self._buffer[:sent]


def _dropped_line(count: int) -> bytes:
    line = {"level": "warning", "message": "log lines dropped", "count": count}
    return orjson.dumps(line) + b"\n"
