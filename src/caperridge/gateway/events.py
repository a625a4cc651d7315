"""Incremental parser of server-sent events that preserves their bytes."""

from caperridge.records import Record

_EVENT_END = b"\n\n"
_EVENT_END_CRLF = b"\r\n\r\n"
_ID = b"id:"
_DATA = b"data:"
_DATA_LINE = b"\n" + _DATA


class Event(Record):
    """One server-sent event.

    Attributes:
        id: its number in the stream; -1 if it has none.
        raw: its bytes, including the blank line at the end.
    """

    __slots__ = ("id", "raw")

    def __init__(self, id: int, raw: bytes) -> None:
        self.id = id
        self.raw = raw

    def data(self) -> bytes:
        r"""Return the values of its data lines, joined by newlines.

        >>> Event(1, b"id: 1\ndata: a\ndata: b\n\n").data()
        b'a\nb'
        """
        lines: list[bytes] = []
        for line in self.raw.splitlines():
            if line.startswith(_DATA):
                lines.append(line[len(_DATA) :].removeprefix(b" "))
        return b"\n".join(lines)


class EventSplitter:
    r"""Splits received bytes into complete events.

    Blocks without data, such as comments, are no events. They are kept with the next
    event, or form the trailer.

    Attributes:
        rest: bytes of a block that is not complete yet.
        trailer: complete blocks without data after the last event.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a")
    []
    >>> splitter.feed(b"\n\nid: 2")
    [Event(id=1, raw=b'id: 1\ndata: a\n\n')]
    >>> splitter.rest
    b'id: 2'
    >>> splitter.feed(b"\ndata: b\n\n: comment\n\n")
    [Event(id=2, raw=b'id: 2\ndata: b\n\n')]
    >>> splitter.rest, splitter.trailer
    (b'', b': comment\n\n')
    """

    __slots__ = ("rest", "trailer")

    def __init__(self) -> None:
        self.rest = b""
        self.trailer = b""

    @property
    def pending_bytes(self) -> int:
        """How many bytes it has that belong to no event yet."""
        return len(self.rest) + len(self.trailer)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        pending = self.rest + data if self.rest else data
        if b"\r" in pending:
            return self._feed_mixed(pending)
        # Runs for each read of each stream, so all events are split in one pass that
        # ignores other line endings.
        *parts, self.rest = pending.split(_EVENT_END)
        events: list[Event] = []
        for part in parts:
            self._add_block(part + _EVENT_END, events)
        return events

    def _add_block(self, block: bytes, events: list[Event]) -> None:
        """Add a complete block to the events, or to the trailer if it has no data."""
        if not block.startswith(_DATA) and _DATA_LINE not in block:
            self.trailer += block
            return
        id = _id_of(block)
        if self.trailer:
            block = self.trailer + block
            self.trailer = b""
        events.append(Event(id, block))

    def _feed_mixed(self, pending: bytes) -> list[Event]:
        """Return complete events of a stream with mixed line endings."""
        events: list[Event] = []
        while True:
            end = _end_of_event(pending)
            if end < 0:
                break
            self._add_block(pending[:end], events)
            pending = pending[end:]
        self.rest = pending
        return events


def _end_of_event(pending: bytes) -> int:
    """Return the length of the first complete event; -1 if there is none."""
    ends: list[int] = []
    for delimiter in (_EVENT_END, _EVENT_END_CRLF):
        at = pending.find(delimiter)
        if at >= 0:
            ends.append(at + len(delimiter))
    return min(ends, default=-1)


def _id_of(raw: bytes) -> int:
    for line in raw.splitlines():
        if not line.startswith(_ID):
            continue
        text = line[len(_ID) :].strip()
        return int(text) if text.isdigit() else -1
    return -1
