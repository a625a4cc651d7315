"""Which requests a planned stop still accepts, by their size and their target's pace.

Guards against streams that are broken off at the end of a stop though a refusal would
have saved them, and against refusals of requests that would have ended in time. Targets
of one service differ in pace by a factor of two; requests come over a whole stop, and
targets are empty, full or in part used by others.
"""

import random

import pytest
from multidict import CIMultiDict

from caperridge.gateway import target_choice
from caperridge.gateway.answer_limits import AnswerLimits
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.inbound import Failure, InboundRequest, RequestState
from caperridge.gateway.occupancy import Count
from caperridge.gateway.routes import STREAMING, Route, Share
from caperridge.gateway.stopping import stop_times
from caperridge.gateway.target_choice import TargetChoice
from caperridge.gateway.targets import Target
from gateway.conftest import HOST

ROUTE = Route("ask", HOST, "/ask/", STREAMING, [Share("model", 1.0)], 5.0, 0.3)
EVENT_S_BY_TARGET = {"fast": 0.035, "slow": 0.07}
SLOTS = 8
GRACE_S = 8.0
TOKENS_PER_EVENT = 5
REQUESTS = 2000
FIRST_EVENT_S = 0.05


class StopModel:
    """An instance in a planned stop that began at 0, and its two targets."""

    def __init__(self, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.chance = random.Random(seed)
        self.now = 0.0
        monkeypatch.setattr(target_choice.asyncio, "get_running_loop", lambda: self)
        self.fleet = Fleet("e-0", "a", self.chance)
        for id in EVENT_S_BY_TARGET:
            self.fleet.targets.put(Target(id, "model", "10.0.0.1:1", "a", SLOTS))
        self.limits = AnswerLimits()
        self.times = stop_times(0.0, GRACE_S)
        self.choice = TargetChoice(self.fleet, self.limits)

    def time(self) -> float:
        """Return the time of the modelled loop."""
        return self.now

    def events(self) -> int:
        return max(12, min(62, round(self.chance.gauss(39, 10))))

    def run_s(self, target: str, events: int) -> float:
        jitter = self.chance.uniform(0.97, 1.03)
        return FIRST_EVENT_S + events * EVENT_S_BY_TARGET[target] * jitter

    def observe(self, tightness: tuple[float, float]) -> None:
        """Complete requests before the stop."""
        for _ in range(100):
            id = self.chance.choice(list(EVENT_S_BY_TARGET))
            events = self.events()
            target = self.fleet.targets.by_id[id]
            self.fleet.record_answer(target, events, self.run_s(id, events), False)
            lengths = self.fleet.run_lengths("model")
            lengths.answers.record_size(self.stated(events, tightness), events)
        self.limits.cap(self.times.answers_until, self.times.callers_moved)

    def stated(self, events: int, tightness: tuple[float, float]) -> int:
        """Return the bound that a caller states for an answer of ``events``."""
        return round(events * TOKENS_PER_EVENT / self.chance.uniform(*tightness))

    def occupy(self) -> None:
        """Have other instances use some of the slots of each target."""
        for id in EVENT_S_BY_TARGET:
            online = self.chance.choice([0, SLOTS // 2, SLOTS, SLOTS + 4])
            self.fleet.occupancy.update_peer_count("e-1", id, Count(online=online))

    def wait_s(self, target: str) -> float:
        online = self.fleet.occupancy.total_at(target).online
        online_s = self.fleet.run_lengths("model").online_s
        return max(0, online + 1 - SLOTS) * online_s / SLOTS

    def request(self, id: str, max_tokens: int) -> InboundRequest:
        return InboundRequest(
            id,
            "POST",
            "/ask/1",
            CIMultiDict(),
            b"",
            ROUTE,
            self.now,
            self.now + 5.0,
            self.now + 2.0,
            max_tokens=max_tokens,
        )

    def play(
        self, tightness: tuple[float, float], states_size: bool
    ) -> tuple[int, int]:
        """Return how many answers were cut, and how many refused without need."""
        self.observe(tightness)
        cut = needless = 0
        for number in range(REQUESTS):
            self.now = self.times.callers_moved + self.chance.uniform(0.0, 3.5)
            self.occupy()
            events = self.events()
            left_s = self.times.answers_until - self.now
            stated = self.stated(events, tightness) if states_size else 0
            request = self.request(f"r{number}", stated)
            chosen = self.choice.choose(request, RequestState(0))
            if isinstance(chosen, Target):
                took_s = self.wait_s(chosen.id) + self.run_s(chosen.id, events)
                cut += took_s > left_s
            elif "cut by the stop" in chosen.reason:
                needless += any(
                    self.wait_s(id) + self.run_s(id, events) <= left_s
                    for id in EVENT_S_BY_TARGET
                )
        return cut, needless


# How much of what their callers state answers use.
EXACT = (1.0, 1.0)
LOOSE = (0.5, 1.0)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("tightness", [EXACT, LOOSE], ids=["exact", "loose"])
def test_size_and_pace_cut_fewer_answers_and_refuse_fewer_without_need(
    seed: int, tightness: tuple[float, float], monkeypatch: pytest.MonkeyPatch
) -> None:
    by_service = StopModel(seed, monkeypatch).play(tightness, states_size=False)
    by_size = StopModel(seed, monkeypatch).play(tightness, states_size=True)
    assert by_size[0] < REQUESTS / 100
    assert by_size[0] <= by_service[0]
    assert by_size[1] < by_service[1]


def test_a_stream_that_goes_on_is_judged_by_what_is_left_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against resumed streams that are refused for events their callers have."""
    model = StopModel(1, monkeypatch)
    model.observe(EXACT)
    model.now = model.times.answers_until - 1.0
    request = model.request("r1", 62 * TOKENS_PER_EVENT)
    refused = model.choice.choose(request, RequestState(0))
    assert isinstance(refused, Failure)
    assert isinstance(model.choice.choose(request, RequestState(50)), Target)


def test_what_has_run_goes_to_any_target_in_a_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a refusal of a request that may have run."""
    model = StopModel(1, monkeypatch)
    model.observe(EXACT)
    model.now = model.times.answers_until - 1.0
    state = RequestState(0)
    state.sent_at_least_once = True
    request = model.request("r1", 62 * TOKENS_PER_EVENT)
    assert isinstance(model.choice.choose(request, state), Target)


def test_a_target_without_own_answers_counts_as_the_slowest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new target that is taken for a fast one."""
    model = StopModel(1, monkeypatch)
    model.observe(EXACT)
    pace = model.fleet.run_lengths("model").answers.event_s
    assert pace.upper > EVENT_S_BY_TARGET["slow"]
    model.fleet.pace_by_target.clear()
    events = 40
    model.now = model.times.answers_until - events * EVENT_S_BY_TARGET["slow"]
    request = model.request("r1", events * TOKENS_PER_EVENT)
    assert isinstance(model.choice.choose(request, RequestState(0)), Failure)
