"""Division of a caller's concurrency limit among the live instances."""

from collections.abc import Iterable

import xxhash

from caperridge.records import Record


class LimitShare(Record):
    """The share that one instance has in the limits of the installation.

    Attributes:
        instances: number of live instances, including this one.
        position: position of this one in the order of their ids.
    """

    __slots__ = ("instances", "position")

    def __init__(self, instances: int = 1, position: int = 0) -> None:
        self.instances = max(1, instances)
        self.position = position


def limit_share_of(instance: str, live: Iterable[str]) -> LimitShare:
    """Return the share of ``instance`` among the ``live`` instances.

    >>> limit_share_of("b", ["c", "a"])
    LimitShare(instances=3, position=1)
    """
    ordered = sorted({*live, instance})
    return LimitShare(len(ordered), ordered.index(instance))


def concurrency_share(caller: str, limit: int, share: LimitShare) -> int:
    """Return how many concurrent requests of ``caller`` this instance may run.

    The shares add up to the limit. The remainder of the division goes to different
    instances for each caller. A limit below the number of instances still allows one
    request at each, since a caller cannot choose the instance that its connection
    reaches and could miss those with a slot.
    """
    base, remainder = divmod(limit, share.instances)
    if not remainder:
        return base
    rotated = share.position + xxhash.xxh3_64_intdigest(caller.encode())
    return max(1, base + (rotated % share.instances < remainder))
