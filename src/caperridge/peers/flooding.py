"""News that everybody should hear: passed on by whoever hears it for the first time."""

from collections import OrderedDict
from functools import singledispatch

from caperridge.peers.held_messages import EndNews, SoundNews
from caperridge.peers.messages import JobNews, TargetNews
from caperridge.records import Record

MOST_SEEN = 5000


@singledispatch
def floods(message: Record) -> bool:
    """Return whether whoever hears ``message`` first passes it on."""
    return False


@floods.register
def _(message: JobNews) -> bool:
    return True


@floods.register
def _(message: TargetNews) -> bool:
    return True


@floods.register
def _(message: EndNews) -> bool:
    return True


@floods.register
def _(message: SoundNews) -> bool:
    return True


class Seen:
    """The news seen last; the oldest is forgotten first.

    >>> seen = Seen(most=1)
    >>> seen.add(JobNews("j", "open")), seen.add(JobNews("j", "open"))
    (True, False)
    >>> seen.add(JobNews("k", "open")), seen.add(JobNews("j", "open"))
    (True, True)
    """

    __slots__ = ("_messages", "_most")

    def __init__(self, most: int = MOST_SEEN) -> None:
        self._messages: OrderedDict[Record, None] = OrderedDict()
        self._most = most

    def add(self, message: Record) -> bool:
        """Return whether ``message`` is seen for the first time."""
        if message in self._messages:
            return False
        self._messages[message] = None
        if len(self._messages) > self._most:
            self._messages.popitem(last=False)
        return True
