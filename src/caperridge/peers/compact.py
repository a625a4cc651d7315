"""The short form of the messages that are sent most, and of the names in them.

Since protocol 2 they are arrays of a code and the fields in a fixed order, without
the fields at the end that have their default. Either end of a stream numbers the
names of targets as they are first mentioned, and sends the number after that; of
sequences it sends the step from the one before. Both count alike, as a stream loses
nothing; one in which a message with names could not be read is closed, and the next one
begins afresh.

A field is only ever added at the end, and a kind only with a new protocol, as one that
the other end skips would put its numbers out of step.
"""

from functools import singledispatch
from typing import Any

import msgpack

from caperridge.peers.messages import (
    Heartbeat,
    LatencyNews,
    LoadNews,
    OnlineCounts,
)
from caperridge.records import Record

COMPACT_PROTOCOL = 2
MOST_NAMES = 4096
_CODES_BY_KIND: dict[type[Record], int] = {
    Heartbeat: 1,
    OnlineCounts: 2,
    LatencyNews: 3,
    LoadNews: 4,
}
_KINDS_BY_CODE = {code: kind for kind, code in _CODES_BY_KIND.items()}
_FIELDS_BY_KIND: dict[type[Record], tuple[str, ...]] = {
    Heartbeat: (
        "sequence",
        "configuration_version",
        "rumours",
        "leaving",
        "incarnation",
        "instance",
    ),
    OnlineCounts: ("counts", "instance"),
    LatencyNews: ("target", "first_token_s", "between_tokens_s", "instance"),
    LoadNews: ("loads", "instance"),
}


class NamesOut:
    """Numbers of the names that this end has sent, and the last sequence."""

    __slots__ = ("_numbers_by_name", "_sequence")

    def __init__(self) -> None:
        self._numbers_by_name: dict[str, int] = {}
        self._sequence = 0

    def step(self, sequence: int) -> int:
        """Return the step to ``sequence`` from the one before."""
        step = sequence - self._sequence
        self._sequence = sequence
        return step

    def name(self, name: str) -> str | int:
        """Return the number of ``name``, or itself the first time.

        >>> names = NamesOut()
        >>> names.name("runner-1"), names.name("runner-1")
        ('runner-1', 0)
        """
        number = self._numbers_by_name.get(name)
        if number is not None:
            return number
        if len(self._numbers_by_name) < MOST_NAMES:
            self._numbers_by_name[name] = len(self._numbers_by_name)
        return name


class NamesIn:
    """The names that the other end has sent, by number, and its last sequence."""

    __slots__ = ("_known", "_names", "_sequence")

    def __init__(self) -> None:
        self._sequence = 0
        self._names: list[str] = []
        self._known: set[str] = set()

    def step(self, step: Any) -> int:
        """Return the sequence to which ``step`` leads.

        Raises:
            ValueError: it is no number.
        """
        if not isinstance(step, int):
            raise ValueError(f"{step!r} is no step")
        self._sequence += step
        return self._sequence

    def name(self, short: Any) -> str:
        """Return the name that ``short`` stands for.

        Raises:
            ValueError: it is neither a name nor the number of one.
        """
        if isinstance(short, str):
            if short not in self._known and len(self._names) < MOST_NAMES:
                self._known.add(short)
                self._names.append(short)
            return short
        if not isinstance(short, int) or not 0 <= short < len(self._names):
            raise ValueError(f"{short!r} is no number of a name")
        return self._names[short]


@singledispatch
def with_names(message: Record, change: NamesOut | NamesIn) -> Record:
    """Return ``message`` with ``change`` applied to names of targets and sequences."""
    return message


@with_names.register
def _(message: OnlineCounts, change: Any) -> Record:
    counts = [[change.name(name), *rest] for name, *rest in message.counts]
    # The first one has a whole sequence, the others have steps already.
    if counts:
        counts[0][2] = change.step(counts[0][2])
    return OnlineCounts(counts, message.instance)


@with_names.register
def _(message: LoadNews, change: Any) -> Record:
    loads = [[change.name(name), *rest] for name, *rest in message.loads]
    return LoadNews(message.instance, loads)


@with_names.register
def _(message: LatencyNews, change: Any) -> Record:
    return message.replace(target=change.name(message.target))


def is_compact(message: Record) -> bool:
    """Return whether there is a short form of ``message``."""
    return type(message) in _CODES_BY_KIND


def pack_compact(message: Record, own: str) -> bytes:
    """Return the body of the frame for ``message``, which the instance ``own`` sends.

    >>> pack_compact(LatencyNews("e-1", "r-1"), "e-1").hex(" ")
    '92 03 a3 72 2d 31'
    """
    kind = type(message)
    names = _FIELDS_BY_KIND[kind]
    values = [getattr(message, name) for name in names]
    if values[-1] == own:
        values[-1] = ""
    while values and not values[-1]:
        values.pop()
    # What is measured need not be exact to more than seven digits.
    return msgpack.packb([_CODES_BY_KIND[kind], *values], use_single_float=True)


def read_compact(parts: list[Any]) -> Record | None:
    """Return the message of an unpacked body; None if its code is not known.

    Raises:
        TypeError: a field without a default is missing.
    """
    kind = _KINDS_BY_CODE.get(parts[0]) if parts else None
    if kind is None:
        return None
    return kind.from_map(dict(zip(_FIELDS_BY_KIND[kind], parts[1:], strict=False)))
