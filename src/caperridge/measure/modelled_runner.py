"""One runner by the engine model and a hand-moved clock, under a headroom policy.

What a busy measuring process adds to latencies is left out, and minutes of load take
seconds: this is how the policy itself is compared and tuned.
"""

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Any

from caperridge.decisions.headroom import BatchStream, Headroom
from caperridge.measure.load import Latencies, LoadShape, schedule
from caperridge.records import Record
from caperridge.standins.engine_model import EngineCosts, EngineModel, Sequence, Step

TARGET = "runner"
SENDER = "entry-2"
ONLINE = "req-"


class ModelShape(Record):
    """One modelled run.

    Attributes:
        costs: of the engine.
        load: of the online callers.
        batch_weight: the trade.
        order_s: until a start or a cancel reaches the engine, or a token comes back.
        news_s: until online news reaches the dispatcher; 0 if they are one process.
        item_tokens: shortest and longest answer of a batch item; None for no batch.
        seed: of the load and of the items.
    """

    __slots__ = (
        "batch_weight",
        "costs",
        "item_tokens",
        "load",
        "news_s",
        "order_s",
        "seed",
    )

    def __init__(
        self,
        costs: EngineCosts,
        load: LoadShape,
        batch_weight: float = 0.5,
        order_s: float = 0.002,
        news_s: float = 0.0,
        item_tokens: tuple[int, int] | None = (40, 120),
        seed: int = 1,
    ) -> None:
        self.costs = costs
        self.load = load
        self.batch_weight = batch_weight
        self.order_s = order_s
        self.news_s = news_s
        self.item_tokens = item_tokens
        self.seed = seed


class Item:
    """A batch item of the model."""

    __slots__ = ("most", "name", "preemptions", "tokens")

    def __init__(self, name: str, most: int) -> None:
        self.name = name
        self.most = most
        self.tokens = 0
        self.preemptions = 0


class ModelledRunner:
    """Runs a :class:`ModelShape` from start to end."""

    def __init__(self, shape: ModelShape, headroom: Headroom | None = None) -> None:
        self.shape = shape
        self.now = 0.0
        self.headroom = headroom or Headroom()
        self.headroom.acquire_target(TARGET, 0.0, sole_instance=True)
        self.headroom.update_peers(sole_instance=shape.news_s == 0)
        self.engine = EngineModel(shape.costs)
        self.first_token = Latencies()
        self.between_tokens = Latencies()
        self.batch_tokens = 0
        self.preemptions = 0
        self.queued = 0
        self._online = 0
        self._known = 0
        self._sequence = 0
        self._random = random.Random(shape.seed)
        self._names = count()
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = count()
        self._stepping = False
        self._not_before = 0.0
        self._waiting: list[Item] = []
        self._batch_by_attempt: dict[str, tuple[BatchStream, Item, list[float]]] = {}
        self._online_by_attempt: dict[str, list[float]] = {}

    def run(self) -> dict[str, Any]:
        """Run the whole load; return the figures."""
        load = self.shape.load
        for arrival in schedule(load, self.shape.seed):
            self._at(arrival.at, self._arrive, arrival)
        if self.shape.item_tokens:
            self._at(0.0, self._fill, None)
        while self._events:
            at, _, act, argument = heapq.heappop(self._events)
            if at > load.seconds:
                break
            self.now = at
            act(argument)
        return self._figures()

    def _figures(self) -> dict[str, Any]:
        return {
            "ttft_p50_ms": self.first_token.percentile_ms(50),
            "ttft_p95_ms": self.first_token.percentile_ms(95),
            "ttft_p99_ms": self.first_token.percentile_ms(99),
            "itl_p50_ms": self.between_tokens.percentile_ms(50),
            "itl_p95_ms": self.between_tokens.percentile_ms(95),
            "online_answers": self.first_token.count,
            "queued_online": self.queued,
            "batch_preemptions": self.preemptions,
            "batch_tokens_per_s": round(self.batch_tokens / self.shape.load.seconds, 1),
        }

    def _at(self, at: float, act: Callable[..., None], argument: Any) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act, argument))

    def _arrive(self, arrival: Any) -> None:
        attempt = f"{ONLINE}{arrival.number}"
        prompt = f"{attempt} ".ljust(self.shape.load.prompt_characters, "?")
        sequence = Sequence(attempt, attempt, prompt, arrival.tokens)
        self._online_by_attempt[attempt] = [self.now]
        self._tell(+1)
        self._at(self.now + self.shape.order_s, self._submit, sequence)

    def _tell(self, change: int) -> None:
        self._online += change
        # The own process tells in order; only a peer's news carries a sequence.
        self._sequence += 1 if self.shape.news_s else 0
        news = (self._online, self._sequence)
        self._at(self.now + self.shape.news_s, self._hear, news)

    def _hear(self, news: tuple[int, int]) -> None:
        online, sequence = news
        self._known = online
        self.headroom.update_online(TARGET, SENDER, online, self.now, sequence)
        if not self.shape.item_tokens:
            return
        streams = [stream for stream, _, _ in self._batch_by_attempt.values()]
        for stream in self.headroom.to_preempt(
            TARGET,
            self.shape.costs.most_running,
            self.shape.batch_weight,
            streams,
            self.now,
        ):
            _, item, _ = self._batch_by_attempt.pop(stream.attempt)
            item.preemptions += 1
            self.preemptions += 1
            self._waiting.insert(0, item)
            self._at(self.now + self.shape.order_s, self._cancel, stream.attempt)
        self._fill(None)

    def _cancel(self, attempt: str) -> None:
        self.engine.cancel(attempt)
        self.headroom.record_reaction(TARGET, 2 * self.shape.order_s)

    def _fill(self, _: None) -> None:
        if self.now < self._not_before:
            self._at(self._not_before, self._fill, None)
            return
        running = self._batch_by_attempt.values()
        ending = sum(1 for _, item, _ in running if item.tokens + 1 == item.most)
        starts = self.headroom.to_start(
            TARGET,
            self.shape.costs.most_running,
            self.shape.batch_weight,
            len(running),
            ending,
            self.now,
        )
        for _ in range(starts.count):
            self._start(self._waiting.pop(0) if self._waiting else self._new_item())
        if starts.count:
            self._not_before = self.now + starts.retry_delay_s
        if starts.retry_delay_s < self.shape.load.seconds:
            self._at(self.now + starts.retry_delay_s, self._fill, None)

    def _new_item(self) -> Item:
        least, most = self.shape.item_tokens or (1, 1)
        return Item(f"item-{next(self._names)}", self._random.randint(least, most))

    def _start(self, item: Item) -> None:
        attempt = f"{item.name}.{next(self._names)}"
        stream = BatchStream(attempt, TARGET, item.tokens, item.preemptions)
        self._batch_by_attempt[attempt] = (stream, item, [])
        prompt = f"{item.name} ".ljust(self.shape.load.prompt_characters, ".")
        sequence = Sequence(attempt, item.name, prompt, item.most, item.tokens)
        self._at(self.now + self.shape.order_s, self._submit, sequence)

    def _submit(self, sequence: Sequence) -> None:
        batch = not sequence.attempt.startswith(ONLINE)
        if batch and sequence.attempt not in self._batch_by_attempt:
            return
        self.engine.submit(sequence)
        if not self._stepping:
            self._step(None)

    def _step(self, _: None) -> None:
        step = self.engine.step()
        self._stepping = step is not None
        # An online request that a full step leaves in the queue waits for a place.
        self.queued += sum(
            1 for s in self.engine.waiting if s.attempt.startswith(ONLINE)
        )
        if step is None:
            return
        ends = self.now + step.duration_s
        self._at(ends + self.shape.order_s, self._tokens, step)
        self._at(ends, self._step, None)

    def _tokens(self, step: Step) -> None:
        finished = {sequence.attempt for sequence in step.finished}
        batch = len(self._batch_by_attempt)
        for sequence in step.emitted:
            attempt = sequence.attempt
            if attempt in self._online_by_attempt:
                self._online_token(attempt, attempt in finished)
                continue
            found = self._batch_by_attempt.get(attempt)
            if found is None:
                continue
            stream, item, last = found
            item.tokens += 1
            stream.tokens = item.tokens
            stream.ending = item.tokens + 1 == item.most
            self.batch_tokens += 1
            beside = self._known + batch
            if last and last[1] == beside:
                self.headroom.record_step(TARGET, batch, self.now - last[0], self.now)
            last[:] = [self.now, beside]
            if attempt in finished:
                del self._batch_by_attempt[attempt]
        if self.shape.item_tokens:
            self._fill(None)

    def _online_token(self, attempt: str, last: bool) -> None:
        times = self._online_by_attempt[attempt]
        if len(times) == 1:
            self.first_token.record(self.now - times[0])
        else:
            self.between_tokens.record(self.now - times[-1])
        times.append(self.now)
        if last:
            del self._online_by_attempt[attempt]
            self._tell(-1)
