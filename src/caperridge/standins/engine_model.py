"""Simulation of an engine with continuous batching, without I/O or a clock.

The duration of a step grows with the running sequences and with the prompt tokens to
prefill; each running sequence gets one token per step. Sequences are admitted in FIFO
order, without priorities. Prompt prefixes are cached in blocks with LRU eviction.
"""

from collections import OrderedDict, deque

import xxhash

from caperridge.records import Record

BLOCK_TOKENS = 16
CHARS_PER_TOKEN = 4


class EngineCosts(Record):
    """Step durations, in seconds, and capacities of an engine.

    Attributes:
        step_s: duration of an empty step.
        sequence_s: added for each running sequence.
        prefill_s: added for each prompt token that is not cached.
        most_running: maximum of sequences in one step; others wait.
        cache_blocks: capacity of the prefix cache in blocks.
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
        attempt: id of this attempt, set by the caller.
        request: id of the request, set by the caller.
        prompt: the complete prompt text.
        produced: tokens produced, counted from the start of the answer.
        max_tokens: number of tokens at which the answer is finished.
        kv_ready: the KV cache was imported, so there is nothing to prefill.
        digest: digest that all tokens of the answer contain.
        blocks: hashes of the prompt's prefix blocks.
    """

    __slots__ = (
        "attempt",
        "blocks",
        "digest",
        "kv_ready",
        "max_tokens",
        "produced",
        "prompt",
        "request",
    )

    def __init__(
        self,
        attempt: str,
        request: str,
        prompt: str,
        max_tokens: int,
        produced: int = 0,
        kv_ready: bool = False,
    ) -> None:
        self.attempt = attempt
        self.request = request
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.produced = produced
        self.kv_ready = kv_ready
        self.digest = answer_digest(prompt)
        self.blocks = prefix_blocks(prompt)


class Step(Record):
    """Result of one step: its duration and the sequences that get a token."""

    __slots__ = ("duration_s", "emitted", "finished")

    def __init__(
        self, duration_s: float, emitted: list[Sequence], finished: list[Sequence]
    ) -> None:
        self.duration_s = duration_s
        self.emitted = emitted
        self.finished = finished


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of ``prompt``, estimated from its length."""
    return len(prompt) // CHARS_PER_TOKEN + 1


def answer_digest(prompt: str) -> str:
    """Return the digest that each token of an answer to ``prompt`` contains."""
    return xxhash.xxh64_hexdigest(prompt.encode())[:8]


def token_text(digest: str, offset: int) -> str:
    """Return the text of the token at ``offset`` of the answer with ``digest``.

    >>> token_text("abcd", 3)
    'abcd.3 '
    """
    return f"{digest}.{offset} "


def answer_text(prompt: str, tokens: int) -> str:
    """Return the expected answer to ``prompt``, for checks."""
    digest = answer_digest(prompt)
    return "".join(token_text(digest, offset) for offset in range(tokens))


def prefix_blocks(prompt: str) -> list[int]:
    """Return the chained hash of each complete block of ``prompt``."""
    size = BLOCK_TOKENS * CHARS_PER_TOKEN
    hashes: list[int] = []
    seed = 0
    for start in range(0, len(prompt) - size + 1, size):
        seed = xxhash.xxh64_intdigest(prompt[start : start + size].encode(), seed)
        hashes.append(seed)
    return hashes


class EngineModel:
    """State of an engine.

    The owner calls :meth:`step` and waits for the duration that it returns.
    """

    def __init__(self, costs: EngineCosts) -> None:
        self.costs = costs
        self.waiting: deque[Sequence] = deque()
        self.running_by_attempt: dict[str, Sequence] = {}
        self.cached_blocks: OrderedDict[int, None] = OrderedDict()
        self.added_blocks: list[int] = []

    def submit(self, sequence: Sequence) -> None:
        """Append ``sequence`` to the queue."""
        self.waiting.append(sequence)

    def cancel(self, attempt: str) -> bool:
        """Remove the sequence of ``attempt``; return whether there was one."""
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
        """Admit sequences and run one step; return None if there is nothing to run."""
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
            if sequence.produced >= sequence.max_tokens:
                del self.running_by_attempt[sequence.attempt]
                finished.append(sequence)
        return Step(duration_s, running, finished)

    def peak_tokens_per_s(self) -> float:
        """Return the tokens per second of a full engine, without prefill."""
        full = self.costs.most_running
        return full / (self.costs.step_s + self.costs.sequence_s * full)

    def _prefill(self, sequence: Sequence) -> int:
        if sequence.kv_ready:
            return 0
        # Tokens produced before a resume are prefilled like the prompt.
        uncached = prompt_tokens(sequence.prompt) + sequence.produced
        uncached -= self.cached_tokens(sequence)
        for block in sequence.blocks:
            if block not in self.cached_blocks:
                self.added_blocks.append(block)
            self.cached_blocks[block] = None
            self.cached_blocks.move_to_end(block)
        while len(self.cached_blocks) > self.costs.cache_blocks:
            self.cached_blocks.popitem(last=False)
        return max(0, uncached)
