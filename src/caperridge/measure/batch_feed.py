"""Batch items without end, straight into the batch streams of each instance.

Claims and commits are left out: what is measured is the share of the runners that
batch gets, and what that does to online callers.
"""

import random

from caperridge.instance.batch_streams import BatchStreams, ItemWork
from caperridge.measure.fleet import SERVICE, StandinFleet
from caperridge.targets.outcomes import AttemptError


class BatchFeed:
    """Keeps every instance supplied with items.

    Args:
        fleet: whose instances get them.
        least_tokens: shortest answer.
        most_tokens: longest answer.
        prompt_characters: of each prompt.
        seed: of the lengths.
    """

    def __init__(
        self,
        fleet: StandinFleet,
        least_tokens: int = 40,
        most_tokens: int = 120,
        prompt_characters: int = 200,
        seed: int = 1,
    ) -> None:
        self.items = 0
        self.failed = 0
        self.tokens = 0
        self.preemptions = 0
        self._least = least_tokens
        self._most = most_tokens
        self._characters = prompt_characters
        self._random = random.Random(seed)
        self._number = 0
        self._stopped = False
        self._fleet = fleet

    def start(self, waiting: int = 64) -> None:
        """Begin; ``waiting`` items are kept in each instance beyond those that run."""
        for instance in self._fleet.instances_by_id.values():
            self._feed(instance.streams, waiting)

    def stop(self) -> None:
        """Stop every item, and count what was done of those that ran."""
        self._stopped = True
        for instance in self._fleet.instances_by_id.values():
            instance.streams.drop_all()

    def _feed(self, streams: BatchStreams, waiting: int) -> None:
        def finished(work: ItemWork, error: AttemptError | None) -> None:
            if self._stopped:
                return
            if error is not None:
                self.failed += 1
                streams.submit(work)
                return
            self.items += 1
            self.tokens += len(work.texts)
            self.preemptions += work.preemptions
            streams.submit(self._next())

        streams.finished = finished
        for _ in range(waiting):
            streams.submit(self._next())

    def _next(self) -> ItemWork:
        self._number += 1
        tokens = self._random.randint(self._least, self._most)
        prompt = f"log {self._number} ".ljust(self._characters, ".")
        body = {"model": SERVICE, "prompt": prompt, "max_tokens": tokens}
        request = f"batch_1.{self._number}"
        return ItemWork(request, "batch_1", SERVICE, "/v1/completions", body)
