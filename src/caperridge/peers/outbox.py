"""What waits to be sent to one peer: bounded, and newer news replaces older.

A peer that reads slowly must cost its sender no memory, and what it finally reads
should be the newest state, not the history of it.
"""

from collections import OrderedDict
from functools import singledispatch
from typing import Any

from caperridge.peers.messages import (
    ConfigurationAsk,
    ConfigurationNews,
    Heartbeat,
    JobNews,
    LatencyNews,
    ListAsk,
    LoadedNews,
    LoadNews,
    OnlineNews,
    TargetNews,
)
from caperridge.records import Record

MOST_MESSAGES = 2000


@singledispatch
def subject(message: Record) -> Any:
    """Return what ``message`` is news of; None if each one matters by itself."""
    return None


@subject.register
def _(message: Heartbeat) -> Any:
    return Heartbeat


@subject.register
def _(message: OnlineNews) -> Any:
    return OnlineNews, message.instance, message.target


@subject.register
def _(message: LatencyNews) -> Any:
    return LatencyNews, message.instance, message.target


@subject.register
def _(message: JobNews) -> Any:
    return JobNews, message.job


@subject.register
def _(message: TargetNews) -> Any:
    return TargetNews, message.target


@subject.register
def _(message: LoadNews) -> Any:
    return LoadNews, message.instance


@subject.register
def _(message: LoadedNews) -> Any:
    return LoadedNews, message.target


@subject.register
def _(message: ConfigurationNews) -> Any:
    # A delta does not replace the one that it builds on, so each version counts.
    return ConfigurationNews, message.version


@subject.register
def _(message: ConfigurationAsk) -> Any:
    return ConfigurationAsk


@subject.register
def _(message: ListAsk) -> Any:
    return ListAsk


class Outbox:
    """Messages in order of first arrival; a newer one takes an older one's place."""

    __slots__ = ("_messages_by_key", "_most", "_number", "dropped")

    def __init__(self, most: int = MOST_MESSAGES) -> None:
        self._messages_by_key: OrderedDict[Any, Record] = OrderedDict()
        self._most = most
        self._number = 0
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._messages_by_key)

    def put(self, message: Record) -> bool:
        """Add ``message``; False, and counted, if there is no room for it."""
        key = subject(message)
        if key is None:
            self._number += 1
            key = self._number
        if key not in self._messages_by_key and len(self) >= self._most:
            self.dropped += 1
            return False
        self._messages_by_key[key] = message
        return True

    def take(self) -> list[Record]:
        """Return and forget everything."""
        messages = list(self._messages_by_key.values())
        self._messages_by_key.clear()
        return messages
