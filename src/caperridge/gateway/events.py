"""Incremental parser of server-sent events that preserves their bytes."""

from caperridge.records import Record

_EVENT_END = b"\n\n"
_EVENT_END_CRLF = b"\r\n\r\n"
_ID = b"id:"
_DATA = b"data:"


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

    Attributes:
        rest: bytes of an event that is not complete yet.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a")
    []
    >>> splitter.feed(b"\n\nid: 2")
    [Event(id=1, raw=b'id: 1\ndata: a\n\n')]
    >>> splitter.rest
    b'id: 2'
    """

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        pending = self.rest + data if self.rest else data
        if b"\r" in pending:
            return self._feed_mixed(pending)
        # Runs for each read of each stream, so all events are split in one pass that
        # ignores other line endings.
        *parts, self.rest = pending.split(_EVENT_END)
        return [Event(_id_of(part), part + _EVENT_END) for part in parts]

    def _feed_mixed(self, pending: bytes) -> list[Event]:
        """Return complete events of a stream with mixed line endings."""
        events: list[Event] = []
        while True:
            end = _end_of_event(pending)
            if end < 0:
                break
            events.append(Event(_id_of(pending[:end]), pending[:end]))
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
