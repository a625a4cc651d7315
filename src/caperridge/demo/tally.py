"""What the demo counts, by checking each result against what was sent."""

from typing import Any

from caperridge.measure.samples import quantile

PERCENT_99 = 0.99


class Tally:
    """The counts of one run of the demo.

    Attributes:
        accepted: items of acknowledged jobs that their callers did not cancel.
        completed: items with the right result.
        failed_items: items reported as failed that can indeed never be done.
        lost: accepted items without a right result, and wrongly failed ones.
        doubled: results, jobs or plain calls that are there more than once.
        online_requests: online requests made.
        online_wrong: those whose answer was wrong, cut short, or never came.
        first_tokens_s: time to the first token of each answered request.
        batch_s: from the first job's acceptance to the last one's end.
    """

    def __init__(self) -> None:
        self.accepted = 0
        self.completed = 0
        self.failed_items = 0
        self.lost = 0
        self.doubled = 0
        self.online_requests = 0
        self.online_wrong = 0
        self.first_tokens_s: list[float] = []
        self.batch_s = 0.0

    @property
    def good(self) -> bool:
        """Whether nothing was lost, doubled or answered wrongly."""
        return not (self.lost or self.doubled or self.online_wrong)

    def to_map(self) -> dict[str, Any]:
        """Return the counts as the demo's last line shows them."""
        rate = self.completed / self.batch_s if self.batch_s else 0.0
        return {
            "accepted": self.accepted,
            "completed": self.completed,
            "failed_items": self.failed_items,
            "lost": self.lost,
            "doubled": self.doubled,
            "online_requests": self.online_requests,
            "online_wrong": self.online_wrong,
            "ttft_p99_ms": round(quantile(self.first_tokens_s, PERCENT_99) * 1000, 1),
            "batch_items_per_s": round(rate, 1),
        }
