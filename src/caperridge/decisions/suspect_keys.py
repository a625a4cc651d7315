"""Keys of suspects, in two widths: one content, or all contents with one prompt part.

A prompt is a list of parts. Requests share all but the last one, which belongs to the
request itself.
"""

import hashlib
from collections.abc import Sequence

PART_BYTES = 8
_PREFIX = "part"


def part_keys(parts: Sequence[str]) -> tuple[str, ...]:
    """Return the keys of the shared parts of a prompt, the last part first.

    Args:
        parts: ids of all parts, in order.

    >>> part_keys(["a", "b", "own"])
    ('part1-8472c2e34d854f75', 'part0-40f89e395b66422f')
    >>> part_keys(["own"])
    ()
    """
    keys = [_part_key(position, part) for position, part in enumerate(parts[:-1])]
    return tuple(reversed(keys))


def part_position(key: str) -> int | None:
    """Return the position of a part in its prompt; None for the key of a content.

    >>> part_position("part12-8e1ebf6b21ed27b0"), part_position("8e1ebf6b21ed27b0")
    (12, None)
    """
    position, _, _ = key.removeprefix(_PREFIX).partition("-")
    if not key.startswith(_PREFIX) or not position.isdigit():
        return None
    return int(position)


def _part_key(position: int, part: str) -> str:
    digest = hashlib.blake2b(
        part.encode(errors="surrogateescape"), digest_size=PART_BYTES
    )
    return f"{_PREFIX}{position}-{digest.hexdigest()}"
