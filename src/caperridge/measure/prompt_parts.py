"""Ways of finding a prompt part that crashes its targets, on the same demand.

Instances are modelled without processes: each runs the real guard on modelled
messages, a modelled store and a modelled clock.
"""

import asyncio
import statistics
import sys
import time
from collections import OrderedDict
from typing import Any

from caperridge.measure.modelled_loop import run_modelled
from caperridge.measure.options import Options
from caperridge.measure.part_fleet import ModelInstance
from caperridge.measure.part_scenario import Scenario
from caperridge.measure.part_ways import KEPT, WAYS_BY_NAME, Way
from caperridge.measure.part_world import World

SECONDS = 30.0
SEEDS = 2
FLEETS = {9: 6, 60: 40, 300: 190}
# All ways are played up to this size, only the kept one above it.
MAX_INSTANCES_OF_ALL_WAYS = 9
LARGE = ("one part", "zone cut")
# Crashes after which the part has to be known, when, and in how many runs.
KNOWN_CRASHES = 5
KNOWN_S = 3.0
SETTLED_S = 6.0


def scenarios(instances: int, seconds: float) -> dict[str, Scenario]:
    """Return what is played with as many instances."""
    usual = Scenario(instances, FLEETS[instances], seconds)
    third = 1 / 3
    return {
        "one part": usual,
        "crashes by chance": usual.replace(crash_interval_s=4.0),
        "only by chance": usual.replace(fatal_parts=0, crash_interval_s=1.5),
        "a third at once": usual.replace(lost_ratio=third),
        "all at once": usual.replace(lost_ratio=1.0),
        "two parts": usual.replace(fatal_parts=2),
        "first part": usual.replace(fatal_first=True),
        "instance started": usual.replace(fresh_at=10.0),
        "zone cut": usual.replace(cut=(6.0, 16.0)),
        "moved streams": usual.replace(fatal_idempotent=True),
        "rare part": usual.replace(fatal_parts=0, coincidences=4),
        "sound before": usual.replace(sound_before=True),
        "half of targets": usual.replace(fatal_targets=0.5),
    }


async def run(options: Options) -> dict[str, Any]:
    """Play the ways, fleets and scenarios."""
    seconds = SECONDS * min(1.0, options.scale(SECONDS))
    figures: dict[str, Any] = {}
    for instances in FLEETS:
        rows = figures.setdefault(f"{instances} instances", {})
        ways = list(WAYS_BY_NAME) if instances <= MAX_INSTANCES_OF_ALL_WAYS else [KEPT]
        for name, scenario in scenarios(instances, seconds).items():
            if instances > MAX_INSTANCES_OF_ALL_WAYS and name not in LARGE:
                continue
            seeds = range(options.seed, options.seed + SEEDS)
            rows[name] = {
                way: await asyncio.to_thread(play_all, scenario, way, seeds)
                for way in ways
            }
    return figures


def play_all(scenario: Scenario, way: str, seeds: range) -> dict[str, float]:
    """Return the mean of each figure over the seeds, and its spread."""
    plays = [run_modelled(play(scenario, WAYS_BY_NAME[way], seed)) for seed in seeds]
    figures: dict[str, float] = {}
    for name in plays[0]:
        values = [one[name] for one in plays]
        figures[name] = round(statistics.fmean(values), 3)
        if len(values) > 1 and max(values) > min(values):
            figures[f"{name}_sd"] = round(statistics.stdev(values), 3)
    return figures


async def play(scenario: Scenario, way: Way, seed: int) -> dict[str, float]:
    """Play one scenario and return its figures."""
    world = World(scenario, way, seed)
    started_at = time.perf_counter()
    await world.play()
    took_s = time.perf_counter() - started_at
    return {**_harm(world, scenario), **_costs(world), "took_s": round(took_s, 1)}


def _harm(world: World, scenario: Scenario) -> dict[str, float]:
    """Return what the fatal parts and false holds did."""
    outcomes = world.outcomes
    crashes = sum(map(len, outcomes.crashed_at.values()))
    until_held, later, unheld = [0.0], 0, 0
    settled_at = scenario.fatal_from + SETTLED_S
    for part, crashed_at in outcomes.crashed_at.items():
        held_at = outcomes.held_at.get(part)
        unheld += held_at is None
        before = [at for at in crashed_at if held_at is None or at <= held_at]
        until_held.append(len(before))
        if len(crashed_at) < KNOWN_CRASHES:
            continue
        fifth_at = crashed_at[KNOWN_CRASHES - 1]
        settled_at = max(settled_at, fifth_at + SETTLED_S)
        sent_at = outcomes.fatal_sent_at.get(part, [])
        later = max(later, sum(1 for at in sent_at if at > fifth_at + KNOWN_S))
    since = [one for one in outcomes.sound if one[0] >= scenario.fatal_from]
    parts = {k: v for k, v in outcomes.false_s.items() if k.startswith("part")}
    lasted_s = [until - since for since, until in outcomes.false_s.values()]
    return {
        "crashes": crashes,
        "crashes_until_held": max(until_held),
        "parts_not_held": unheld,
        "runs_later": later,
        "began_ratio": _ratio(sum(one[2] for one in since), len(since)),
        "served_ratio": _ratio(sum(one[3] for one in since), len(since)),
        "same_first_ratio": _same_first(world, scenario, settled_at),
        "false_parts": len(parts),
        "false_contents": len(outcomes.false_s) - len(parts),
        "false_longest_s": round(max([0.0, *lasted_s]), 1),
    }


def _same_first(world: World, scenario: Scenario, settled_at: float) -> float:
    """Return how often sound requests with the first part begin, to before."""
    same = [one for one in world.outcomes.sound if one[1] == "first-0"]
    before = [one[2] for one in same if one[0] < scenario.fatal_from]
    after = [one[2] for one in same if one[0] >= settled_at]
    if not before or not after:
        return 1.0
    return round(_ratio(sum(after), len(after)) / _ratio(sum(before), len(before)), 3)


def _costs(world: World) -> dict[str, float]:
    """Return what finding the parts cost."""
    fleet, outcomes = world.fleet, world.outcomes
    crashes = max(1, fleet.crashes)
    figures: dict[str, float] = {}
    for kind in ("TargetEnded", "SoundRuns", "Suspects"):
        figures[f"{kind}_a_crash"] = round(fleet.messages[kind] / crashes, 1)
    total_bytes = sum(fleet.bytes_by_kind.values())
    figures["kib_a_crash"] = round(total_bytes / crashes / 1024, 2)
    figures["far_kib_a_crash"] = round(fleet.far_bytes / crashes / 1024, 2)
    per_instance = 1e3 / crashes / len(fleet.instances)
    figures["handling_ms_a_crash"] = round(fleet.handling_s * per_instance, 3)
    figures["evaluation_ms_a_crash"] = round(fleet.evaluation_s * per_instance, 3)
    figures["store_writes_a_crash"] = round(fleet.store.attempts / crashes, 2)
    figures["store_refused_a_crash"] = round(fleet.store.refusals / crashes, 2)
    figures["holds"] = len(outcomes.held_at)
    figures["isolated_runs"] = outcomes.isolated_runs
    held = [_held_bytes(one) for one in fleet.instances[:3]]
    suspects = [len(one.quarantine.by_content) for one in fleet.instances[:3]]
    figures["suspects_held"] = max(suspects)
    figures["suspects_kib"] = round(max(one[0] for one in held) / 1024, 1)
    figures["good_runs_kib"] = round(max(one[1] for one in held) / 1024, 1)
    return figures


def _held_bytes(instance: ModelInstance) -> tuple[int, int]:
    """Return the bytes of the suspects and of the good runs of an instance."""
    exoneration = instance.guard._exoneration
    good_runs = (exoneration._good_run_at, exoneration._good_run_at_by_part)
    return _size(instance.quarantine.by_content, set()), _size(good_runs, set())


def _size(value: Any, seen: set[int]) -> int:
    """Return the bytes of an object and of all that it refers to."""
    if id(value) in seen:
        return 0
    seen.add(id(value))
    size = sys.getsizeof(value)
    if isinstance(value, dict | OrderedDict):
        return size + sum(_size(k, seen) + _size(v, seen) for k, v in value.items())
    if isinstance(value, list | tuple | set | frozenset):
        return size + sum(_size(one, seen) for one in value)
    for base in type(value).__mro__:
        for name in getattr(base, "__slots__", ()):
            size += _size(getattr(value, name, None), seen)
    return size


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 1.0
