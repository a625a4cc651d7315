"""Keys of suspects, in two widths: one content, or all contents with one prompt part.

A prompt is a list of parts. Requests share all but the last one, which belongs to the
request itself. A part is known by its id wherever it stands, but a first part, which
most requests of a route share, has a key of its own.
"""

import hashlib
from collections.abc import Sequence

PART_BYTES = 8
_PART = "part-"
_FIRST_PART = "first-"


def part_keys(parts: Sequence[str]) -> tuple[str, ...]:
    """Return the keys of the shared parts of a prompt, the last part first.

    Args:
        parts: ids of all parts, in order.

    >>> part_keys(["a", "b", "own"])
    ('part-8472c2e34d854f75', 'first-40f89e395b66422f')
    >>> part_keys(["own"])
    ()
    """
    keys = [
        (_PART if position else _FIRST_PART) + _digest(part)
        for position, part in enumerate(parts[:-1])
    ]
    return tuple(reversed(keys))


def is_part(key: str) -> bool:
    """Whether a key is that of a part, not of a content."""
    return key.startswith((_PART, _FIRST_PART))


def is_first_part(key: str) -> bool:
    """Whether a key is that of a part at the beginning of its prompts."""
    return key.startswith(_FIRST_PART)


def _digest(part: str) -> str:
    data = part.encode(errors="surrogateescape")
    return hashlib.blake2b(data, digest_size=PART_BYTES).hexdigest()
