"""Rendezvous hashing: the owner of a key among the live members.

Members with the same view compute the same owner, and when a member leaves, only its
keys move. While views differ, a key can have two owners, which callers must tolerate.
"""

from collections.abc import Iterable

import xxhash


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member that owns ``key``; None if there are no members.

    >>> owner("runner-1", ["a", "b", "c"]) == owner("runner-1", ["c", "a", "b"])
    True
    """
    best: str | None = None
    best_score = -1
    for member in members:
        own_score = score(key, member)
        if own_score > best_score or (
            own_score == best_score and member > (best or "")
        ):
            best, best_score = member, own_score
    return best


def score(key: str, member: str) -> int:
    """Return the score of ``member`` for ``key``; the highest score owns the key."""
    return xxhash.xxh3_64_intdigest(f"{member}\x00{key}".encode())
