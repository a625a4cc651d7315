"""What a choice of target costs, and how good it is, by the way of choosing.

A simulation in virtual time: instances of one zone, each with a book of its own that
knows its own requests at once and all others' by reports a second apart. Prompts
share prefixes; each target caches a bounded number of blocks.
"""

import heapq
import random
import time
from collections import OrderedDict
from typing import Any

from caperridge.decisions.affinity import BLOCK_TOKENS, prefix_blocks, prompt_tokens
from caperridge.decisions.patience import first_event_timeout
from caperridge.decisions.routing import TargetPool
from caperridge.decisions.target_state import RequestProfile, TargetReport
from caperridge.measure.admission import admission
from caperridge.measure.options import Options
from caperridge.measure.samples import quantile
from caperridge.records import Record
from caperridge.store.interface import ListedMember

OWN_ZONE = 112
MOST_RUNNING = 16
STEP_S = 0.01
SEQUENCE_S = 0.0005
PREFILL_S = 0.00005
CACHE_BLOCKS = 2048
TOKENS = 60
REPORT_EVERY_S = 1.0
FAMILIES = 400
SHARED_BLOCKS = 60
OWN_CHARACTERS = 400
SCAN_ALL = 10**9
HUNG_SHARE = 0.005
NEVER_S = 1e9


class Arm(Record):
    """One way of choosing.

    Attributes:
        name: in the figures.
        random_own_zone: candidates at random; 0 compares all targets.
        home: whether a prefix has a home among the targets.
        prefixes: whether the score knows prefixes at all.
    """

    __slots__ = ("home", "name", "prefixes", "random_own_zone")

    def __init__(
        self,
        name: str,
        random_own_zone: int,
        home: bool = True,
        prefixes: bool = True,
    ) -> None:
        self.name = name
        self.random_own_zone = random_own_zone
        self.home = home
        self.prefixes = prefixes


ARMS = (
    Arm("scan", 0),
    Arm("scan_no_prefix", 0, prefixes=False),
    Arm("two_no_home", 2, home=False),
    Arm("two", 2),
    Arm("four", 4),
    Arm("eight", 8),
)


class SimTarget:
    """One target: slots that are taken in order of arrival, and a prefix cache."""

    __slots__ = ("_ends", "cached", "in_flight")

    def __init__(self) -> None:
        self.in_flight = 0
        self.cached: OrderedDict[int, None] = OrderedDict()
        self._ends: list[float] = []

    def run(self, now: float, tokens: int, blocks: list[int]) -> tuple[float, float]:
        """Return when the first token comes and when the request ends."""
        starts = now
        if len(self._ends) >= MOST_RUNNING:
            starts = max(now, heapq.heappop(self._ends))
        step_s = STEP_S + SEQUENCE_S * min(self.in_flight + 1, MOST_RUNNING)
        first = starts + step_s + PREFILL_S * (tokens - self._hit(blocks))
        ends = first + step_s * (TOKENS - 1)
        heapq.heappush(self._ends, ends)
        return first, ends

    def _hit(self, blocks: list[int]) -> int:
        count = 0
        for block in blocks:
            if block not in self.cached:
                break
            count += 1
        for block in blocks:
            self.cached[block] = None
            self.cached.move_to_end(block)
        while len(self.cached) > CACHE_BLOCKS:
            self.cached.popitem(last=False)
        return count * BLOCK_TOKENS

    def ended(self, now: float) -> None:
        """Drop what has ended."""
        self.in_flight -= 1
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)


class Figures:
    """What one arm did."""

    def __init__(self) -> None:
        self.decision_s: list[float] = []
        self.first_s: list[float] = []
        self.loads: list[int] = []
        self.prompt_tokens = 0
        self.hit_tokens = 0

    def to_map(self) -> dict[str, float]:
        """Return the figures."""
        mean_load = sum(self.loads) / len(self.loads)
        return {
            "decision_us_p50": round(quantile(self.decision_s, 0.5) * 1e6, 1),
            "decision_us_p99": round(quantile(self.decision_s, 0.99) * 1e6, 1),
            "ttft_p50_ms": round(quantile(self.first_s, 0.5) * 1e3, 1),
            "ttft_p95_ms": round(quantile(self.first_s, 0.95) * 1e3, 1),
            "ttft_p99_ms": round(quantile(self.first_s, 0.99) * 1e3, 1),
            "load_p99_over_mean": round(quantile(self.loads, 0.99) / mean_load, 2),
            "prefix_hit_share": round(self.hit_tokens / self.prompt_tokens, 3),
        }


class Simulation:
    """One arm on one fleet.

    Args:
        arm: the way of choosing.
        targets: in all; the first :data:`OWN_ZONE` are in the own zone.
        instances: in the own zone.
        load: share of the own zone's slots that is asked for.
        seed: of arrivals and prompts.
    """

    def __init__(
        self, arm: Arm, targets: int, instances: int, load: float, seed: int
    ) -> None:
        self._arm = arm
        self._random = random.Random(seed)
        self._targets = {f"runner-{n:04d}": SimTarget() for n in range(targets)}
        members = [
            ListedMember(
                name, "target", f"{name}:1", "a" if n < OWN_ZONE else "b", service="s"
            )
            for n, name in enumerate(self._targets)
        ]
        scan = 0 if arm.random_own_zone else SCAN_ALL
        self._books = [
            TargetPool("a", seed * 1000 + n, arm.random_own_zone, scan)
            for n in range(instances)
        ]
        for book in self._books:
            book.apply_list(members)
        hold_s = (STEP_S + SEQUENCE_S * MOST_RUNNING) * TOKENS
        self._rate = OWN_ZONE * MOST_RUNNING * load / hold_s
        self._prefixes = [
            f"family {n} ".ljust(SHARED_BLOCKS * BLOCK_TOKENS * 4, "x")
            for n in range(FAMILIES)
        ]
        self._weights = [1.0 / (n + 1) for n in range(FAMILIES)]
        self.figures = Figures()

    def run(self, requests: int, warm: int) -> Figures:
        """Run and return the figures of the requests after the first ``warm``."""
        now, report_at = 0.0, 0.0
        ends: list[tuple[float, int, str, TargetPool]] = []
        families = self._random.choices(
            range(FAMILIES), self._weights, k=requests + warm
        )
        for number, family in enumerate(families):
            now += self._random.expovariate(self._rate)
            while ends and ends[0][0] <= now:
                _, _, target, book = heapq.heappop(ends)
                book.record_finish(target)
                self._targets[target].ended(now)
            if now >= report_at:
                report_at = now + REPORT_EVERY_S
                self._report(now)
            book = self._books[self._random.randrange(len(self._books))]
            prompt = self._prefixes[family] + f"{number}".rjust(OWN_CHARACTERS, "y")
            blocks = prefix_blocks(prompt)
            tokens = prompt_tokens(prompt)
            began = time.perf_counter()
            target = self._choose(book, tokens, blocks, now)
            took_s = time.perf_counter() - began
            state = self._targets[target]
            before = state.in_flight
            hit = _hit_tokens(state, blocks)
            first, end = state.run(now, tokens, blocks)
            state.in_flight += 1
            book.record_start(target, blocks)
            heapq.heappush(ends, (end, number, target, book))
            if number < warm:
                continue
            self.figures.decision_s.append(took_s)
            self.figures.first_s.append(first - now)
            self.figures.loads.append(before)
            self.figures.prompt_tokens += tokens
            self.figures.hit_tokens += hit
        return self.figures

    def _choose(
        self, book: TargetPool, tokens: int, blocks: list[int], now: float
    ) -> str:
        known = book.prefix_index.tokens_by_target(blocks) if self._arm.prefixes else {}
        wanted = RequestProfile(tokens, known, most_running=MOST_RUNNING)
        home = blocks if self._arm.home else ()
        return book.choose("s", (), wanted, now, home)[0].target

    def _report(self, now: float) -> None:
        for number, (name, target) in enumerate(self._targets.items()):
            if number >= OWN_ZONE:
                return
            waiting = max(0, target.in_flight - MOST_RUNNING)
            for book in self._books:
                report = TargetReport(waiting, target.in_flight, at=now)
                book.record_report(name, report)


def _hit_tokens(target: SimTarget, blocks: list[int]) -> int:
    count = 0
    for block in blocks:
        if block not in target.cached:
            break
        count += 1
    return count * BLOCK_TOKENS


def hedging(first_s: list[float], seed: int) -> dict[str, Any]:
    """Compare moving away at a limit with a second request at the 95th percentile.

    Of each pair of first tokens seen, the second stands for the other target; one
    request in 200 meets a hung one. The load that second requests add is left out,
    which favours them.
    """
    rng = random.Random(seed)
    patience = first_event_timeout()
    for one in first_s:
        patience.record(one)
    limit_s = patience.timeout_s()
    hedge_s = quantile(first_s, 0.95)
    firsts = [NEVER_S if rng.random() < HUNG_SHARE else one for one in first_s]
    others = rng.sample(first_s, len(first_s))
    figures: dict[str, Any] = {}
    for name, at_s in (("move", limit_s), ("hedge", hedge_s)):
        seen: list[float] = []
        extra = 0
        for first, other in zip(firsts, others, strict=True):
            if first <= at_s:
                seen.append(first)
                continue
            extra += 1
            # A move cancels the first request; a hedge takes whichever comes first.
            second = at_s + other
            seen.append(second if name == "move" else min(first, second))
        figures[name] = {
            "at_ms": round(at_s * 1e3, 1),
            "ttft_p99_ms": round(quantile(seen, 0.99) * 1e3, 1),
            "ttft_p999_ms": round(quantile(seen, 0.999) * 1e3, 1),
            "extra_requests_share": round(extra / len(seen), 4),
        }
    return figures


async def run(options: Options) -> dict[str, Any]:
    """Compare the arms on 112 targets and on 1,900."""
    figures: dict[str, Any] = {"admission": admission()}
    for arm in ARMS:
        zone = Simulation(arm, OWN_ZONE, 23, 0.7, options.seed)
        seen = zone.run(5000, 2000)
        figures[f"{arm.name}_112"] = seen.to_map()
        if arm.name == "two":
            figures["hedging"] = hedging(seen.first_s, options.seed)
    for arm in ARMS:
        if arm.name not in ("scan", "two"):
            continue
        fleet = Simulation(arm, 1900, 4, 0.7, options.seed)
        figures[f"{arm.name}_1900"] = fleet.run(1500, 500).to_map()
    return figures
