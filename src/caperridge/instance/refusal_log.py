"""The log of refusals: every one while they are few, a sample while they are many.

Shedding load must not cost more than serving it, and a burst of refusals says little
that its first lines do not. The metrics count every refusal.
"""

import asyncio

from caperridge.log import logger
from caperridge.refusals import Refusal

log = logger(__name__)
MOST_LINES = 10
PERIOD_S = 1.0


class RefusalLog:
    """Writes the first refusals of each code in a period, and counts the others.

    Args:
        most_lines: of one code in a period.
        period_s: after it a line says how many were left out.
    """

    def __init__(
        self, most_lines: int = MOST_LINES, period_s: float = PERIOD_S
    ) -> None:
        self._most_lines = most_lines
        self._period_s = period_s
        self._seen_by_code: dict[str, int] = {}

    def write(self, refusal: Refusal, path: str) -> None:
        """Log a refusal, or count it if its code has had its lines."""
        if not self._seen_by_code:
            loop = asyncio.get_running_loop()
            loop.call_later(self._period_s, self._end_period)
        seen = self._seen_by_code.get(refusal.code, 0)
        self._seen_by_code[refusal.code] = seen + 1
        if seen >= self._most_lines:
            return
        log.info(
            "request refused",
            request=refusal.request_id,
            code=refusal.code,
            run=refusal.run,
            status=refusal.status,
            path=path,
            why=refusal.reason,
        )

    def _end_period(self) -> None:
        for code, seen in self._seen_by_code.items():
            if seen <= self._most_lines:
                continue
            left_out = seen - self._most_lines
            log.info("refusals left out", code=code, left_out=left_out)
        self._seen_by_code.clear()
