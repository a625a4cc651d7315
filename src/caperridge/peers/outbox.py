"""Bounded, coalescing send queue of one peer: a newer update replaces an older one.

A slow peer must not cost the sender unbounded memory, and what it finally reads should
be the latest state, not the history.
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

MAX_MESSAGES = 2000


@singledispatch
def replacement_key(message: Record) -> Any:
    """Return the key by which ``message`` replaces older ones; None for no key."""
    return None


@replacement_key.register
def _(message: Heartbeat) -> Any:
    return Heartbeat


@replacement_key.register
def _(message: OnlineNews) -> Any:
    return OnlineNews, message.instance, message.target


@replacement_key.register
def _(message: LatencyNews) -> Any:
    return LatencyNews, message.instance, message.target


@replacement_key.register
def _(message: JobNews) -> Any:
    return JobNews, message.job


@replacement_key.register
def _(message: TargetNews) -> Any:
    return TargetNews, message.target


@replacement_key.register
def _(message: LoadNews) -> Any:
    return LoadNews, message.instance


@replacement_key.register
def _(message: LoadedNews) -> Any:
    return LoadedNews, message.target


@replacement_key.register
def _(message: ConfigurationNews) -> Any:
    # A delta must not replace the one that it applies to, so the key has the version.
    return ConfigurationNews, message.version


@replacement_key.register
def _(message: ConfigurationAsk) -> Any:
    return ConfigurationAsk


@replacement_key.register
def _(message: ListAsk) -> Any:
    return ListAsk


class Outbox:
    """Queue in arrival order; a replacement keeps the position of the older message."""

    __slots__ = ("_max_messages", "_messages_by_key", "_unkeyed_count", "dropped")

    def __init__(self, max_messages: int = MAX_MESSAGES) -> None:
        self._messages_by_key: OrderedDict[Any, Record] = OrderedDict()
        self._max_messages = max_messages
        self._unkeyed_count = 0
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._messages_by_key)

    def put(self, message: Record) -> bool:
        """Add ``message``; if the queue is full, count it as dropped, return False."""
        key = replacement_key(message)
        if key is None:
            self._unkeyed_count += 1
            key = self._unkeyed_count
        if key not in self._messages_by_key and len(self) >= self._max_messages:
            self.dropped += 1
            return False
        self._messages_by_key[key] = message
        return True

    def drain(self) -> list[Record]:
        """Return and remove all messages."""
        messages = list(self._messages_by_key.values())
        self._messages_by_key.clear()
        return messages
