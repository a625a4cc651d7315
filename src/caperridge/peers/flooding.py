"""Flooding: messages that each instance forwards to its peers on first receipt."""

from collections import OrderedDict
from functools import singledispatch

from caperridge.peers.held_messages import EndNews, SoundNews
from caperridge.peers.messages import JobNews, TargetNews
from caperridge.records import Record

MAX_SEEN_MESSAGES = 5000


@singledispatch
def is_flooded(message: Record) -> bool:
    """Return whether a receiver forwards ``message`` to all its peers."""
    return False


@is_flooded.register
def _(message: JobNews) -> bool:
    return True


@is_flooded.register
def _(message: TargetNews) -> bool:
    return True


@is_flooded.register
def _(message: EndNews) -> bool:
    return True


@is_flooded.register
def _(message: SoundNews) -> bool:
    return True


class SeenMessages:
    """The most recent flooded messages, for dropping duplicates; bounded, oldest out.

    >>> seen = SeenMessages(max_messages=1)
    >>> seen.add(JobNews("j", "open")), seen.add(JobNews("j", "open"))
    (True, False)
    >>> seen.add(JobNews("k", "open")), seen.add(JobNews("j", "open"))
    (True, True)
    """

    __slots__ = ("_max_messages", "_messages")

    def __init__(self, max_messages: int = MAX_SEEN_MESSAGES) -> None:
        self._messages: OrderedDict[Record, None] = OrderedDict()
        self._max_messages = max_messages

    def add(self, message: Record) -> bool:
        """Add ``message``; return False if it was there already."""
        if message in self._messages:
            return False
        self._messages[message] = None
        if len(self._messages) > self._max_messages:
            self._messages.popitem(last=False)
        return True
