"""The model of an engine: continuous batching in steps, without I/O or a clock.

A step takes longer the more sequences run in it and the more prompt tokens it has to
prefill; each running sequence gets one token a step. Sequences are admitted first
come, first served: the engine knows no priorities. Prompt prefixes are cached in
blocks, the least recently used going first.
"""

from collections import OrderedDict, deque

import xxhash

from caperridge.records import Record

BLOCK_TOKENS = 16
CHARACTERS_A_TOKEN = 4


class EngineCosts(Record):
    """How long things take, in seconds, and how much fits.

    Attributes:
        step_s: one step with nothing in it.
        sequence_s: added for each running sequence.
        prefill_s: added for each prompt token that is not cached.
        most_running: sequences in one step; later ones wait.
        cache_blocks: blocks of the prefix cache.
    """

    __slots__ = ("cache_blocks", "most_running", "prefill_s", "sequence_s", "step_s")

    def __init__(
        self,
        step_s: float = 0.010,
        sequence_s: float = 0.0005,
        prefill_s: float = 0.00005,
        most_running: int = 16,
        cache_blocks: int = 4096,
    ) -> None:
        self.step_s = step_s
        self.sequence_s = sequence_s
        self.prefill_s = prefill_s
        self.most_running = most_running
        self.cache_blocks = cache_blocks


class Sequence(Record):
    """One request inside the engine.

    Attributes:
        attempt: the caller's id of this attempt.
        request: the caller's id of the request.
        prompt: the whole prompt text.
        produced: tokens produced, counted from the start of the answer.
        most_tokens: where it ends.
        kv_ready: the KV cache was imported, so there is nothing to prefill.
    """

    __slots__ = (
        "attempt",
        "blocks",
        "digest",
        "kv_ready",
        "most_tokens",
        "produced",
        "prompt",
        "request",
    )

    def __init__(
        self,
        attempt: str,
        request: str,
        prompt: str,
        most_tokens: int,
        produced: int = 0,
        kv_ready: bool = False,
    ) -> None:
        self.attempt = attempt
        self.request = request
        self.prompt = prompt
        self.most_tokens = most_tokens
        self.produced = produced
        self.kv_ready = kv_ready
        self.digest = answer_digest(prompt)
        self.blocks = prefix_blocks(prompt)


class Step(Record):
    """What one step did: how long it takes and which sequences get a token."""

    __slots__ = ("duration_s", "emitted", "finished")

    def __init__(
        self, duration_s: float, emitted: list[Sequence], finished: list[Sequence]
    ) -> None:
        self.duration_s = duration_s
        self.emitted = emitted
        self.finished = finished


def prompt_tokens(prompt: str) -> int:
    """Return how many tokens ``prompt`` is, by its length."""
    return len(prompt) // CHARACTERS_A_TOKEN + 1


def answer_digest(prompt: str) -> str:
    """Return the digest that every answer to ``prompt`` is made of."""
    return xxhash.xxh64_hexdigest(prompt.encode())[:8]


def token_text(digest: str, offset: int) -> str:
    """Return the token at ``offset`` of the answer with ``digest``.

    >>> token_text("abcd", 3)
    'abcd.3 '
    """
    return f"{digest}.{offset} "


def answer_text(prompt: str, tokens: int) -> str:
    """Return the whole answer to ``prompt``, for checks."""
    digest = answer_digest(prompt)
    return "".join(token_text(digest, offset) for offset in range(tokens))


def prefix_blocks(prompt: str) -> list[int]:
    """Return the chained hash of each whole block of ``prompt``."""
    size = BLOCK_TOKENS * CHARACTERS_A_TOKEN
    hashes: list[int] = []
    seed = 0
    for start in range(0, len(prompt) - size + 1, size):
        seed = xxhash.xxh64_intdigest(prompt[start : start + size].encode(), seed)
        hashes.append(seed)
    return hashes


class EngineModel:
    """The engine's state; whoever holds it calls :meth:`step` and waits as told."""

    def __init__(self, costs: EngineCosts) -> None:
        self.costs = costs
        self.waiting: deque[Sequence] = deque()
        self.running_by_attempt: dict[str, Sequence] = {}
        self.cached_blocks: OrderedDict[int, None] = OrderedDict()
        self.added_blocks: list[int] = []

    def submit(self, sequence: Sequence) -> None:
        """Put ``sequence`` behind those that wait."""
        self.waiting.append(sequence)

    def cancel(self, attempt: str) -> bool:
        """Drop the sequence; return whether it was there."""
        if self.running_by_attempt.pop(attempt, None) is not None:
            return True
        for sequence in self.waiting:
            if sequence.attempt == attempt:
                self.waiting.remove(sequence)
                return True
        return False

    def cached_tokens(self, sequence: Sequence) -> int:
        """Return how many leading prompt tokens of ``sequence`` are cached."""
        count = 0
        for block in sequence.blocks:
            if block not in self.cached_blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def step(self) -> Step | None:
        """Admit, run one step, and return it; None if there is nothing to run."""
        prefill_tokens = 0
        while self.waiting and len(self.running_by_attempt) < self.costs.most_running:
            sequence = self.waiting.popleft()
            self.running_by_attempt[sequence.attempt] = sequence
            prefill_tokens += self._prefill(sequence)
        running = list(self.running_by_attempt.values())
        if not running:
            return None
        duration_s = (
            self.costs.step_s
            + self.costs.sequence_s * len(running)
            + self.costs.prefill_s * prefill_tokens
        )
        finished: list[Sequence] = []
        for sequence in running:
            sequence.produced += 1
            if sequence.produced >= sequence.most_tokens:
                del self.running_by_attempt[sequence.attempt]
                finished.append(sequence)
        return Step(duration_s, running, finished)

    def best_tokens_per_s(self) -> float:
        """Return the tokens a second of a full engine, prefill left aside."""
        full = self.costs.most_running
        return full / (self.costs.step_s + self.costs.sequence_s * full)

    def _prefill(self, sequence: Sequence) -> int:
        if sequence.kv_ready:
            return 0
        # What was produced before a resume is prefilled like the prompt.
        left = prompt_tokens(sequence.prompt) + sequence.produced
        left -= self.cached_tokens(sequence)
        for block in sequence.blocks:
            if block not in self.cached_blocks:
                self.added_blocks.append(block)
            self.cached_blocks[block] = None
            self.cached_blocks.move_to_end(block)
        while len(self.cached_blocks) > self.costs.cache_blocks:
            self.cached_blocks.popitem(last=False)
        return max(0, left)
