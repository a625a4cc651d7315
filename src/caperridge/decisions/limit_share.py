"""Which part of a caller's limit on requests at once an instance may use."""

from collections.abc import Iterable

import xxhash

from caperridge.records import Record


class LimitShare(Record):
    """The place of one instance among those that share the limits.

    Attributes:
        instances: live ones, this one included.
        place: of this one in the order of their ids.
    """

    __slots__ = ("instances", "position")

    def __init__(self, instances: int = 1, position: int = 0) -> None:
        self.instances = max(1, instances)
        self.position = position


def limit_share_of(instance: str, live: Iterable[str]) -> LimitShare:
    """Return the seat of ``instance`` among ``live`` ones.

    >>> limit_share_of("b", ["c", "a"])
    LimitShare(instances=3, position=1)
    """
    ordered = sorted({*live, instance})
    return LimitShare(len(ordered), ordered.index(instance))


def concurrency_share(caller: str, limit: int, seat: LimitShare) -> int:
    """Return how many requests of ``caller`` may run at once at this seat.

    The shares add up to the limit. What does not divide goes to other seats for each
    caller. A limit below the number of instances still gets one at each: a caller
    cannot choose where its connections end, and none would find its few places.
    """
    whole, rest = divmod(limit, seat.instances)
    if not rest:
        return whole
    turned = seat.position + xxhash.xxh3_64_intdigest(caller.encode())
    return max(1, whole + (turned % seat.instances < rest))
