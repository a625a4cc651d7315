"""A short soak with fixed seeds, and each seed that ever failed."""

from pathlib import Path

import pytest

from soak.soak import soak

SHORT = [1]
# Seeds that failed once, each with its cause.
# 122: a runner that refused everything looked the freest and got every item, for ever.
# 5049: beside a load of 25 on 8 processors a stop took 5.17 s of 4 s; the log has no
# stop that long, but an instance that was told to stop 0.2 s after it had come up, some
# 6 s after the one before had ended. Not seen again; inferred: the signal came while it
# it was starting.
FAILED_ONCE: list[int] = [122, 5049]


@pytest.mark.parametrize("seed", [*SHORT, *FAILED_ONCE])
async def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    tally, faults = await soak(seed, seconds=6.0, folder=tmp_path)
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.answered > 0
    assert tally.accepted


# Streams and items went on at another software version: in one answer, where a caller
# came back, and after a lease, a preemption or a takeover.
RELEASES = [4600, 4601]


@pytest.mark.parametrize("seed", RELEASES)
async def test_streams_keep_their_software_version_in_a_release_in_slow_steps(
    seed: int, tmp_path: Path
) -> None:
    tally, faults = await soak(seed, seconds=8.0, folder=tmp_path, release=True)
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.answered > 0
    assert tally.taken_up


# Streams and items were joined from two software versions: targets that had restarted
# in place were credited with the version of their entry before.
UNSTEADY = [6801, 6806]


@pytest.mark.parametrize("seed", UNSTEADY)
async def test_streams_keep_their_version_where_targets_restart_in_place(
    seed: int, tmp_path: Path
) -> None:
    tally, faults = await soak(seed, seconds=12.0, folder=tmp_path, unsteady=True)
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.answered > 0
    assert tally.taken_up


# An item was never done: its slots were declined as long as a target of its software
# version had a free one, and the granter granted the same slots again.
RELEASES_IN_STOPS = [46213]


@pytest.mark.parametrize("seed", RELEASES_IN_STOPS)
async def test_every_item_is_done_in_a_release_beside_planned_stops(
    seed: int, tmp_path: Path
) -> None:
    tally, faults = await soak(
        seed, seconds=12.0, folder=tmp_path, stops=True, release=True
    )
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.accepted


# A request that ends each target that runs it comes again every third of a second,
# beside all other faults. Without word between instances it ended 14 to 16 in these
# seconds, and a quarter of the other requests were answered.
FATAL = [9000, 9001]


@pytest.mark.parametrize("seed", FATAL)
async def test_a_request_that_ends_targets_is_kept_from_them(
    seed: int, tmp_path: Path
) -> None:
    tally, faults = await soak(seed, seconds=8.0, folder=tmp_path, fatal=True)
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.targets_ended >= 3
    assert tally.answered > tally.asked / 2


# Different requests that share a part of their prompts end each target that begins to
# write on it. Judged by the whole request, each was at one end, and none was held.
FATAL_PARTS = [9100]


@pytest.mark.parametrize("seed", FATAL_PARTS)
async def test_a_prompt_part_that_ends_targets_is_kept_from_them(
    seed: int, tmp_path: Path
) -> None:
    tally, faults = await soak(seed, seconds=12.0, folder=tmp_path, fatal_part=True)
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.targets_ended >= 3
    assert tally.answered > tally.asked / 2


# Requests were read by a stopping instance and never answered: closing its door left
# idle connections of callers open, and what came on them was read and dropped until the
# process ended, a second later where a stream still ran. The callers of the soak opened
# a connection for each request, so none of them was there to see it. Each of these
# showed it.
STOPS = [701, 702]


@pytest.mark.parametrize("seed", STOPS)
async def test_no_request_is_lost_in_planned_stops_that_overlap(
    seed: int, tmp_path: Path
) -> None:
    tally, faults = await soak(seed, seconds=10.0, folder=tmp_path, stops=True)
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.stops
    assert tally.met_stops


# Targets end answers with their connection and fall silent for a while, and most new
# connections come to one instance.
SOUND = [7101]


@pytest.mark.parametrize("seed", SOUND)
async def test_promises_hold_where_targets_and_the_balancer_are_sound(
    seed: int, tmp_path: Path
) -> None:
    tally, faults = await soak(seed, seconds=6.0, folder=tmp_path, sound=True)
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.answered > 0
    assert tally.accepted


SOUND_IN_STOPS = [7202]


@pytest.mark.parametrize("seed", SOUND_IN_STOPS)
async def test_silent_targets_cost_no_request_in_planned_stops(
    seed: int, tmp_path: Path
) -> None:
    tally, faults = await soak(
        seed, seconds=10.0, folder=tmp_path, stops=True, grace_s=8.0, sound=True
    )
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.stops
    assert tally.met_stops


# Jobs that were answered 202 were in no store: an instance that was turned away by the
# store took the answer to a call of its earlier process, which a peer was asked for
# before it was frozen, for the answer to its own.
OVERLAPS = [100, 101]


@pytest.mark.parametrize("seed", OVERLAPS)
async def test_no_job_is_lost_while_a_peer_is_frozen_and_its_neighbour_killed(
    seed: int, tmp_path: Path
) -> None:
    tally, faults = await soak(seed, seconds=14.0, folder=tmp_path, overlap=True)
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.accepted
