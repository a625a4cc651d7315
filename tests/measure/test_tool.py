"""The measure tool: what it runs, writes, compares and refuses."""

import json
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner, Result

from caperridge.cli import measure
from caperridge.cli.errors import BAD_RESULT, FINDINGS, CommandError
from caperridge.cli.main import app
from caperridge.measure import registry
from caperridge.measure.options import Options
from caperridge.measure.plots import draw_all
from caperridge.measure.report import markdown, with_run

Call = Callable[..., Result]


@pytest.fixture
def call(monkeypatch: pytest.MonkeyPatch) -> Call:
    """Run the command line with experiments that only echo what they are told."""

    async def experiment(options: Options) -> dict[str, Any]:
        return {
            "rate": 100.0 * options.seed,
            "arms": [{"arm": "a", "p99_ms": 2.0}, {"arm": "b", "p99_ms": 4.0}],
        }

    monkeypatch.setattr(registry, "load", lambda name: experiment)
    monkeypatch.setattr(registry, "exists", lambda name: name in ("relay", "batch"))
    return lambda *words: CliRunner().invoke(app, ["measure", *map(str, words)])


def test_the_last_line_is_one_json_object_with_the_run(call: Call) -> None:
    result = call("batch", "--seed", 3, "--seconds", 2, "--json")
    figures = json.loads(result.stdout.splitlines()[-1])
    assert result.exit_code == 0
    assert figures["rate"] == 300.0
    assert figures["run"]["settings"] == {"seconds": 2.0, "seed": 3}
    assert figures["run"]["machine"]["cores"] >= 1
    assert "aiohttp" in figures["run"]["versions"]


def test_a_run_leaves_json_and_a_report(call: Call, tmp_path: Path) -> None:
    assert call("batch", "--out", tmp_path / "new").exit_code == 0
    assert json.loads((tmp_path / "new/batch.json").read_bytes())["rate"] == 100.0
    report = (tmp_path / "new/batch.md").read_text()
    assert "| rate | 100 |" in report
    assert "| b | 4 |" in report


def test_two_runs_are_set_side_by_side(call: Call, tmp_path: Path) -> None:
    for seed in (1, 2):
        call("batch", "--out", tmp_path / str(seed), "--seed", seed)
    files = tmp_path / "1/batch.json", tmp_path / "2/batch.json"
    compared = json.loads(call("compare", *files, "--json").stdout)
    assert compared["differs"] == ["seed", "settings"]
    figures_by_path = compared["figures_by_path"]
    assert figures_by_path["rate"] == {"a": 100.0, "b": 200.0, "b_to_a": 2.0}
    assert figures_by_path["arms.1.p99_ms"]["b_to_a"] == 1.0
    assert "2" in call("compare", *files).stdout.splitlines()[3].split()


def test_all_runs_what_is_built_and_goes_on_after_a_failure(
    call: Call, monkeypatch: pytest.MonkeyPatch
) -> None:
    sound = registry.load("batch")

    async def failing(options: Options) -> dict[str, Any]:
        raise ValueError("planted")

    monkeypatch.setattr(
        registry, "load", lambda name: failing if name == "batch" else sound
    )
    result = call("all", "--json")
    outcomes = json.loads(result.stdout.splitlines()[-1])
    assert set(outcomes) == {"batch", "relay"}
    assert outcomes["batch"] == "failed: ValueError: planted"
    assert outcomes["relay"].startswith("done")
    assert isinstance(result.exception, CommandError)
    assert result.exception.code == BAD_RESULT


def test_what_measures_its_own_memory_runs_before_the_others() -> None:
    names = registry.in_order()
    assert names[:2] == ["control", "roles"]
    assert sorted(names) == sorted(registry.MODULES_BY_NAME)


def test_arms_with_many_figures_stand_side_by_side() -> None:
    fields = {f"field_{number}": number for number in range(20)}
    figures = {"arms": {"a": fields, "b": fields | {"only_b": 7}}}
    text = markdown(with_run("batch", Options(), 1.0, figures))
    assert "| figure | a | b |" in text
    assert "| field_19 | 19 | 19 |" in text
    assert "| only_b | - | 7 |" in text


def test_a_part_that_a_run_lacks_is_not_drawn(tmp_path: Path) -> None:
    arm = {"batch_share_of_idle": 0.5, "ttft_p99_ms": 100.0}
    modelled = {"a": {"batch_share_of_idle": 0.5}}
    modelled["a"] |= {"ttft_p99_ratio": 1.1, "itl_p95_ratio": 1.2}
    short = draw_all("online-tail", {"alone": arm}, tmp_path)
    whole = draw_all("online-tail", {"alone": arm, "modelled": modelled}, tmp_path)
    assert [path.name for path in short] == ["online-tail-tail-and-batch.png"]
    assert [path.name for path in whole][1:] == ["online-tail-modelled.png"]


def test_an_experiment_that_only_computes_ends_with_ctrl_c(
    call: Call, monkeypatch: pytest.MonkeyPatch
) -> None:
    went_on = []

    async def computing(options: Options) -> dict[str, Any]:
        signal.raise_signal(signal.SIGINT)
        went_on.append(options)
        return {}

    monkeypatch.setattr(registry, "load", lambda name: computing)
    before = signal.getsignal(signal.SIGINT)
    assert call("relay").exit_code != 0
    assert went_on == []
    assert signal.getsignal(signal.SIGINT) is before


def test_a_name_that_is_none_is_refused(call: Call) -> None:
    result = call("nothing")
    assert result.exit_code == 2
    assert "nothing" in result.output


@pytest.mark.parametrize(
    ("texts", "said"),
    [
        (("{}", "{}"), "run: does not say"),
        (("[]", "{}"), "is not the record"),
        (("{", "{}"), "is not JSON"),
        ((None, "{}"), "No such file"),
        (
            ('{"run":{"experiment":"a"}}', '{"run":{"experiment":"b"}}'),
            "is of b, the other of a",
        ),
    ],
)
def test_what_cannot_be_compared_is_said(
    call: Call, tmp_path: Path, texts: tuple[str | None, str], said: str
) -> None:
    files = [tmp_path / "a.json", tmp_path / "b.json"]
    for file, text in zip(files, texts, strict=True):
        if text is not None:
            file.write_text(text)
    result = call("compare", *files)
    assert isinstance(result.exception, CommandError)
    assert result.exception.code == FINDINGS
    assert said in str(result.exception)


def test_a_directory_that_cannot_be_made_is_said_before_the_run(
    call: Call, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "file").write_text("")
    monkeypatch.setattr(measure, "_run", lambda *_: pytest.fail("it ran"))
    result = call("batch", "--out", tmp_path / "file/below")
    assert isinstance(result.exception, CommandError)


def test_every_experiment_has_a_summary() -> None:
    assert registry.MODULES_BY_NAME.keys() == registry.SUMMARIES_BY_NAME.keys()
