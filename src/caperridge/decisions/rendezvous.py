"""Rendezvous hashing: who among the live members looks after a key.

Every member computes the same answer from the same view; when one goes, only its
keys move. Two views for a moment mean two owners for a moment, which whatever uses
this must bear.
"""

from collections.abc import Iterable

import xxhash


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member that looks after ``key``; None if there are no members.

    >>> owner("runner-1", ["a", "b", "c"]) == owner("runner-1", ["c", "a", "b"])
    True
    """
    best: str | None = None
    best_score = -1
    for member in members:
        own = score(key, member)
        if own > best_score or (own == best_score and member > (best or "")):
            best, best_score = member, own
    return best


def score(key: str, member: str) -> int:
    """Return how well ``member`` fits ``key``; the highest looks after it."""
    return xxhash.xxh3_64_intdigest(f"{member}\x00{key}".encode())
