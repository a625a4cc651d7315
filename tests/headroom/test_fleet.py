"""Tests of the fleets and load schedules that benchmarks use."""

from caperridge.measure.fleet import FleetShape, running_fleet
from caperridge.measure.load import LoadShape, run_load, schedule
from caperridge.standins.engine_model import EngineCosts

QUICK = EngineCosts(step_s=0.001, sequence_s=0.0001)


def test_a_schedule_is_the_same_each_time_and_has_bursts() -> None:
    shape = LoadShape(100.0, 10.0, burst_every_s=5.0, burst_s=1.0)
    arrivals = schedule(shape, 7)
    assert arrivals == schedule(shape, 7)
    in_burst = sum(1 for arrival in arrivals if arrival.at % 5.0 >= 4.0)
    ratio = (in_burst / 1.0) / ((len(arrivals) - in_burst) / 4.0)
    assert 3.0 < ratio < 5.0


async def test_a_fleet_answers_a_whole_load() -> None:
    async with running_fleet(FleetShape(engines=2, costs=QUICK)) as fleet:
        figures = await run_load(fleet, LoadShape(0.5, 40.0), seed=1)
    assert figures.answered > 5
    assert figures.failed == 0
    assert figures.between_tokens.count > 0
