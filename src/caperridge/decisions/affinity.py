"""Prefix-cache affinity: an index of the prompt prefixes that targets have cached.

Each prompt is split into blocks whose hashes are chained, so that a hash identifies a
whole prefix. The index records which target got which prefix, and is extended by the
cache events of the engines. These arrive late and with gaps, so an event only adds.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

BLOCK_TOKENS = 16
CHARACTERS_PER_TOKEN = 4
MAX_BLOCKS_PER_PROMPT = 64
MAX_BLOCKS = 20_000
MAX_HOLDERS_PER_BLOCK = 4

_BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN


def prefix_blocks(prompt: str) -> list[int]:
    """Return the chained hash of each leading block of ``prompt``.

    The engines publish the same hashes in their cache events. Blocks beyond the
    first :data:`MAX_BLOCKS_PER_PROMPT` add little to a choice and are left out.

    >>> one, two = prefix_blocks("a" * 128), prefix_blocks("a" * 64 + "b" * 64)
    >>> one[0] == two[0], one[1] == two[1]
    (True, False)
    """
    hashes: list[int] = []
    seed = 0
    last_start = min(
        len(prompt) - _BLOCK_CHARACTERS,
        (MAX_BLOCKS_PER_PROMPT - 1) * _BLOCK_CHARACTERS,
    )
    for start in range(0, last_start + 1, _BLOCK_CHARACTERS):
        block = prompt[start : start + _BLOCK_CHARACTERS].encode()
        seed = xxhash.xxh64_intdigest(block, seed)
        hashes.append(seed)
    return hashes


def prompt_tokens(prompt: str) -> int:
    """Return the approximate number of tokens in ``prompt``."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


class PrefixIndex:
    """The targets that hold each prefix; evicts the least recently used prefix.

    Args:
        max_blocks: maximum number of prefixes; about 250 bytes each.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._holders_by_block: OrderedDict[int, list[str]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders_by_block)

    def record(self, target: str, blocks: Iterable[int]) -> None:
        """Record that ``target`` got these prefixes, or reported them as cached."""
        for block in blocks:
            holders = self._holders_by_block.get(block)
            if holders is None:
                holders = self._holders_by_block[block] = []
            self._holders_by_block.move_to_end(block)
            if target in holders:
                holders.remove(target)
            holders.append(target)
            if len(holders) > MAX_HOLDERS_PER_BLOCK:
                del holders[0]
        while len(self._holders_by_block) > self._max_blocks:
            self._holders_by_block.popitem(last=False)

    def remove_target(self, target: str) -> None:
        """Remove a target whose cache was lost."""
        for block, holders in list(self._holders_by_block.items()):
            if target not in holders:
                continue
            holders.remove(target)
            if not holders:
                del self._holders_by_block[block]

    def tokens_by_target(self, blocks: Sequence[int]) -> dict[str, int]:
        """Return how many leading tokens each target probably has cached.

        A target that lacks a block has no usable cache for later ones, whatever it
        reports.
        """
        tokens: dict[str, int] = {}
        for number, block in enumerate(blocks):
            holders = self._holders_by_block.get(block)
            if holders is None:
                break
            found = False
            for target in holders:
                if tokens.get(target, 0) == number * BLOCK_TOKENS:
                    tokens[target] = (number + 1) * BLOCK_TOKENS
                    found = True
            if not found:
                break
        return tokens
