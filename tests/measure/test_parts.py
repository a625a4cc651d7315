"""The experiment on prompt parts that crash their targets, in its smallest form."""

import asyncio

import pytest

from caperridge.measure.modelled_loop import run_modelled
from caperridge.measure.part_scenario import Scenario
from caperridge.measure.part_ways import KEPT, WAYS_BY_NAME
from caperridge.measure.prompt_parts import FLEETS, play, scenarios

SECONDS = 15.0
# Of real time, which differs from play to play.
TIMES = {"took_s", "handling_ms_a_crash", "evaluation_ms_a_crash"}
# What callers accept.
MOST_RUNS_LATER = 3


def played(scenario: Scenario, way: str, seed: int = 1) -> dict[str, float]:
    figures = run_modelled(play(scenario, WAYS_BY_NAME[way], seed))
    return {name: value for name, value in figures.items() if name not in TIMES}


@pytest.fixture
def small() -> dict[str, Scenario]:
    return scenarios(min(FLEETS), SECONDS)


def test_whole_requests_say_nothing_about_a_part(small: dict[str, Scenario]) -> None:
    figures = played(small["one part"], "whole request")
    assert figures["parts_not_held"] == 1
    assert figures["runs_later"] > MOST_RUNS_LATER


@pytest.mark.parametrize("way", sorted(set(WAYS_BY_NAME) - {"whole request"}))
def test_each_other_way_holds_the_part(small: dict[str, Scenario], way: str) -> None:
    figures = played(small["one part"], way)
    assert figures["parts_not_held"] == 0
    assert figures["runs_later"] <= MOST_RUNS_LATER


@pytest.mark.parametrize(
    "scenario", sorted(set(scenarios(9, SECONDS)) - {"rare part", "half of targets"})
)
def test_the_kept_way_keeps_what_callers_accept(
    small: dict[str, Scenario], scenario: str
) -> None:
    """A part that is fatal at half of the targets runs well at the others."""
    figures = played(small[scenario], KEPT)
    assert figures["runs_later"] <= MOST_RUNS_LATER
    assert figures["same_first_ratio"] > 0.5
    assert figures["false_parts"] == 0
    assert figures["parts_not_held"] == 0


def test_the_same_seed_gives_the_same_figures(small: dict[str, Scenario]) -> None:
    scenario = small["crashes by chance"]
    assert played(scenario, KEPT, seed=2) == played(scenario, KEPT, seed=2)
    assert played(scenario, KEPT, seed=2) != played(scenario, KEPT, seed=3)


def test_waiting_for_nothing_on_a_modelled_clock_fails() -> None:
    with pytest.raises(RuntimeError, match="never happens"):
        run_modelled(asyncio.Event().wait())


def test_a_modelled_clock_takes_no_time() -> None:
    async def wait() -> float:
        await asyncio.sleep(1e6)
        return asyncio.get_running_loop().time()

    assert run_modelled(wait()) == pytest.approx(1e6)
