"""Estimation of the step time."""

import random

import pytest

from caperridge.decisions.batch_share import max_streams, tail_without_batch
from caperridge.decisions.step_time import LinearFit, StepTimeModel


@pytest.mark.parametrize(
    ("levels", "slope_s"),
    [
        pytest.param(range(1, 17), 0.002, id="steep and wide"),
        pytest.param(range(1, 17), 0.0004, id="flat and wide"),
        pytest.param(range(13, 16), 0.0004, id="close together"),
    ],
)
def test_the_line_is_near_the_truth_through_noise(
    levels: range, slope_s: float
) -> None:
    rng = random.Random(5)
    steps = StepTimeModel()
    for number in range(40):
        for streams in levels:
            prefill = 0.01 if rng.random() < 0.2 else 0.0
            step_s = 0.040 + slope_s * streams + prefill + rng.gauss(0, 0.002)
            steps.observe(streams, step_s, now=number)
    line = steps.line(now=40.0)
    assert line is not None
    for streams in levels:
        assert line.at(streams) == pytest.approx(0.040 + slope_s * streams, rel=0.08)
    assert line.stream_s == pytest.approx(slope_s, rel=0.5, abs=0.0002)


def test_what_is_old_is_forgotten() -> None:
    steps = StepTimeModel()
    for now, slope_s in ((0.0, 0.003), (1000.0, 0.001)):
        for number in range(40):
            for streams in range(1, 17):
                steps.observe(streams, 0.02 + slope_s * streams, now + number)
    line = steps.line(now=1040.0)
    assert line is not None
    assert line.stream_s == pytest.approx(0.001, rel=0.1)


def test_prefill_that_grows_with_the_streams_leaves_a_base() -> None:
    steps = StepTimeModel()
    for number in range(40):
        for streams in range(1, 40):
            steps.observe(streams, 0.001 * streams**2, now=2.0 * number)
    line = steps.line(now=80.0)
    assert line is not None
    assert line.base_s > 0


def test_a_slow_step_counts_once_however_many_streams_report_it() -> None:
    steps = StepTimeModel()
    for number in range(30):
        for streams in (4, 20):
            steps.observe(streams, 0.040 + 0.0002 * streams, now=float(number))
    for _ in range(20):
        steps.observe(20, 0.055, now=30.0)  # one step with a long prompt
    line = steps.line(now=31.0)
    assert line is not None
    assert line.at(20) == pytest.approx(0.044, rel=0.001)


@pytest.mark.parametrize("tail_online", [1, 24, 60])
@pytest.mark.parametrize("base_s", [0.0, 0.04])
def test_the_share_is_defined_for_any_line_and_load(
    tail_online: int, base_s: float
) -> None:
    line = LinearFit(base_s, 0.001)
    assert 0 <= tail_without_batch(line, tail_online, 24) <= tail_online
    assert max_streams(line, tail_online, 24, 0.5) >= 0
