"""Traffic accounting: messages and bytes sent to peers, by kind and distance."""

from collections.abc import Iterator
from typing import Any

from prometheus_client.core import CounterMetricFamily

NEAR = "near"
FAR = "far"


class PeerTraffic:
    """Counts messages and bytes; a collector of ``prometheus_client``.

    Attributes:
        totals_by_kind: messages and bytes, by kind of message and distance.
    """

    __slots__ = ("totals_by_kind",)

    def __init__(self) -> None:
        self.totals_by_kind: dict[tuple[str, str], list[int]] = {}

    def add(self, kind: str, distance: str, size: int) -> None:
        """Count one message of ``kind`` with ``size`` bytes."""
        totals = self.totals_by_kind.setdefault((kind, distance), [0, 0])
        totals[0] += 1
        totals[1] += size

    def state(self) -> dict[str, Any]:
        """Return all totals in readable form."""
        return {
            f"{kind} {distance}": {"messages": messages, "bytes": size}
            for (kind, distance), (messages, size) in self.totals_by_kind.items()
        }

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the totals as metrics."""
        messages = CounterMetricFamily(
            "caperridge_gateway_peer_messages",
            "Messages queued for peers, by kind and distance.",
            labels=["kind", "distance"],
        )
        sizes = CounterMetricFamily(
            "caperridge_gateway_peer_bytes",
            "Bytes queued for peers, by kind of message and distance.",
            labels=["kind", "distance"],
        )
        for key, (count, size) in self.totals_by_kind.items():
            messages.add_metric(key, count)
            sizes.add_metric(key, size)
        yield messages
        yield sizes
