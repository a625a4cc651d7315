"""Which software version began a stream, and which versions a service has had lately.

What two software versions of a target write does not fit together, so a stream goes on
only at the version that began it. Records of streams expire, and their number is
bounded.
"""

from caperridge.records import Record

# Some 150 bytes each.
MAX_STREAMS = 20_000
# Of one service; more than ever serve at a time.
MAX_VERSIONS = 16


class StreamOrigin(Record):
    """What began a stream.

    Attributes:
        service: of the target.
        software_version: of the target; empty if it may be one of several.
    """

    __slots__ = ("service", "software_version")

    def __init__(self, service: str, software_version: str) -> None:
        self.service = service
        self.software_version = software_version


class StreamRecord(Record):
    """The record of one stream.

    Attributes:
        origin: what began it.
        target: id of the incarnation that was listed for that target; empty if it is
            not known.
        until: when the record expires, in seconds of a clock.
    """

    __slots__ = ("origin", "target", "until")

    def __init__(self, origin: StreamOrigin, until: float, target: str = "") -> None:
        self.origin = origin
        self.until = until
        self.target = target


class OriginTable:
    """The origins of recent streams; the oldest give way when there are too many.

    Args:
        max_streams: how many are kept at most.

    >>> table = OriginTable(max_streams=2)
    >>> for key in (1, 2, 3):
    ...     table.put(key, StreamOrigin("chat", f"v{key}"), until=10.0 + key)
    >>> table.find(1, now=5.0) is None, table.find(3, now=5.0).origin.software_version
    (True, 'v3')
    >>> table.expire(now=12.5)
    >>> len(table)
    1
    """

    __slots__ = ("_max_streams", "_records_by_key")

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        self._max_streams = max_streams
        self._records_by_key: dict[int, StreamRecord] = {}

    def __len__(self) -> int:
        return len(self._records_by_key)

    def put(
        self, key: int, origin: StreamOrigin, until: float, target: str = ""
    ) -> None:
        """Keep the origin of a stream until a time of the caller's clock.

        See :class:`StreamRecord`.
        """
        self._records_by_key.pop(key, None)
        self._records_by_key[key] = StreamRecord(origin, until, target)
        if len(self._records_by_key) > self._max_streams:
            del self._records_by_key[next(iter(self._records_by_key))]

    def find(self, key: int, now: float) -> StreamRecord | None:
        """Return the record of a stream; None if it is not known."""
        record = self._records_by_key.get(key)
        if record is None or record.until <= now:
            return None
        return record

    def expire(self, now: float) -> None:
        """Drop the records whose time has passed."""
        for key, record in list(self._records_by_key.items()):
            if record.until <= now:
                del self._records_by_key[key]


class VersionHistory:
    """The software versions that the targets of each service have had lately.

    >>> history = VersionHistory()
    >>> history.record("chat", "v1", now=1.0)
    >>> sorted(history.recent("chat", now=6.0, within_s=6.0))
    ['v1']
    >>> history.recent("chat", now=8.0, within_s=6.0)
    set()
    """

    __slots__ = ("_seen_at_by_service",)

    def __init__(self) -> None:
        self._seen_at_by_service: dict[str, dict[str, float]] = {}

    def record(self, service: str, software_version: str, now: float) -> None:
        """Record that a target of this version was listed or is listed no more."""
        seen_at = self._seen_at_by_service.setdefault(service, {})
        # In the order of the last record.
        seen_at.pop(software_version, None)
        seen_at[software_version] = now
        if len(seen_at) > MAX_VERSIONS:
            del seen_at[next(iter(seen_at))]

    def recent(self, service: str, now: float, within_s: float) -> set[str]:
        """Return the versions that were recorded within ``within_s``."""
        seen_at = self._seen_at_by_service.get(service, {})
        return {version for version, at in seen_at.items() if now - at < within_s}
