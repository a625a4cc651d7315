"""Limits on what one client may send, and the settings of those on all of them."""

import voluptuous as vol

from caperridge.records import Record

MAX_HEAD_BYTES = 64 * 2**10
DEFAULT_MEMORY_RATIO = 0.25
# Each request may need one more connection, to a target.
DEFAULT_DESCRIPTOR_RATIO = 0.45
DEFAULT_HEAD_S = 60.0
DEFAULT_IDLE_S = 3600.0
DEFAULT_STALLED_S = 600.0

_RATIO = vol.All(vol.Any(int, float), vol.Range(min=0.01, max=0.95))
_SECONDS = vol.All(vol.Any(int, float), vol.Range(min=0, min_included=False))

CONNECTIONS_SCHEMA = {
    "memory_ratio": _RATIO,
    "descriptor_ratio": _RATIO,
    "head_s": _SECONDS,
    "idle_s": _SECONDS,
    "stalled_s": _SECONDS,
}


class CallerLimits(Record):
    """Limits on size and time for callers.

    Attributes:
        header_bytes: largest head of a request.
        body_bytes: largest body of a request.
        header_s: longest time until the head is received.
        idle_s: longest time that a kept connection may be idle.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_s", "idle_s")

    def __init__(
        self, header_bytes: int, body_bytes: int, header_s: float, idle_s: float
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s

    def widest(self, other: "CallerLimits") -> "CallerLimits":
        """Return the larger one of each limit.

        >>> CallerLimits(1, 9, 3.0, 2.0).widest(CallerLimits(2, 8, 1.0, 4.0))
        CallerLimits(body_bytes=9, header_bytes=2, header_s=3.0, idle_s=4.0)
        """
        pairs = zip(self.to_map().items(), other.to_map().values(), strict=True)
        return CallerLimits(**{name: max(one, two) for (name, one), two in pairs})


class ConnectionSettings(Record):
    """Settings of what the clients of all listeners may hold together.

    Attributes:
        memory_ratio: part of the machine's memory for what clients send and don't read.
        descriptor_ratio: part of the descriptors for connections of clients.
        head_s: longest time until the head of a request is received, in seconds, where
            no configuration sets it.
        idle_s: longest time without a request, in seconds, where no configuration sets
            it.
        stalled_s: longest time for which a body or an unread answer may not move, in
            seconds.
    """

    __slots__ = ("descriptor_ratio", "head_s", "idle_s", "memory_ratio", "stalled_s")

    def __init__(
        self,
        memory_ratio: float = DEFAULT_MEMORY_RATIO,
        descriptor_ratio: float = DEFAULT_DESCRIPTOR_RATIO,
        head_s: float = DEFAULT_HEAD_S,
        idle_s: float = DEFAULT_IDLE_S,
        stalled_s: float = DEFAULT_STALLED_S,
    ) -> None:
        self.memory_ratio = memory_ratio
        self.descriptor_ratio = descriptor_ratio
        self.head_s = head_s
        self.idle_s = idle_s
        self.stalled_s = stalled_s

    def limits(self, body_bytes: int = MAX_HEAD_BYTES) -> CallerLimits:
        """Return the limits of a listener that no configuration limits."""
        return CallerLimits(MAX_HEAD_BYTES, body_bytes, self.head_s, self.idle_s)
