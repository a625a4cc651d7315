"""Selection of the batch streams to preempt: cheapest to resume first, no starvation.

The tokens of a preempted stream are kept, but on resumption they are prefilled like its
prompt, so the stream with the least progress costs the least. An item that was
preempted often is protected while there are others.
"""

from collections.abc import Iterable

from caperridge.records import Record

PROTECTION_THRESHOLD = 3


class BatchStream(Record):
    """A batch stream that runs at a target.

    Attributes:
        attempt: id of the attempt.
        target: id of its target.
        tokens: tokens generated so far.
        preemptions: number of earlier preemptions of its item.
        ending: whether its last token is being generated, so that its slot is free
            after the next step.
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
    """Return ``count`` streams to preempt, in order of preemption.

    >>> streams = [BatchStream("old", "t", 9), BatchStream("new", "t", 1, 3)]
    >>> [stream.attempt for stream in preemption_victims(streams, 1)]
    ['old']
    """
    if count <= 0:
        return []
    return sorted(running, key=_order)[:count]


def _order(stream: BatchStream) -> tuple[bool, int, int, str]:
    protected = stream.preemptions >= PROTECTION_THRESHOLD
    # Protected items are preempted in rounds: the least often preempted one first.
    rounds = stream.preemptions if protected else 0
    return protected, rounds, stream.tokens, stream.attempt
