"""Which batch streams give way: the cheapest to redo first, none for ever.

The tokens of a stream are kept, but when it is resumed they are prefilled like its
prompt; so the least progress costs least. An item that gave way often is protected
while there are others.
"""

from collections.abc import Iterable

from caperridge.records import Record

PROTECTION_THRESHOLD = 3


class BatchStream(Record):
    """A batch stream that runs at a target.

    Attributes:
        attempt: its id.
        target: where it runs.
        tokens: its progress so far.
        preemptions: how often its item gave way before.
        ending: its last token is in the making: its place is free one step on.
    """

    __slots__ = ("attempt", "ending", "preemptions", "target", "tokens")

    def __init__(
        self,
        attempt: str,
        target: str,
        tokens: int = 0,
        preemptions: int = 0,
        ending: bool = False,
    ) -> None:
        self.attempt = attempt
        self.target = target
        self.tokens = tokens
        self.preemptions = preemptions
        self.ending = ending


def preemption_victims(running: Iterable[BatchStream], count: int) -> list[BatchStream]:
    """Return ``count`` streams to preempt, in the order in which they go.

    >>> streams = [BatchStream("old", "t", 9), BatchStream("new", "t", 1, 3)]
    >>> [stream.attempt for stream in preemption_victims(streams, 1)]
    ['old']
    """
    if count <= 0:
        return []
    return sorted(running, key=_order)[:count]


def _order(stream: BatchStream) -> tuple[bool, int, int, str]:
    protected = stream.preemptions >= PROTECTION_THRESHOLD
    # Among the protected, who gave way least often goes first, and so on in turn.
    turns = stream.preemptions if protected else 0
    return protected, turns, stream.tokens, stream.attempt
