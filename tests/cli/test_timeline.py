"""One request's lines from the logs of many instances, in order."""

from pathlib import Path

import pytest
from typer.testing import CliRunner

from caperridge.cli.errors import CommandError
from caperridge.cli.main import app

LATER = '{"time":"t2","level":"info","message":"request answered","request":"r1"}'
EARLIER = 'e-2 {"time":"t1","level":"info","message":"request placed","request":"r1"}'
OTHER = '{"time":"t1","level":"info","message":"request placed","request":"r2"}'


@pytest.fixture
def runner() -> CliRunner:
    return CliRunner()


def test_lines_of_all_files_come_in_order(runner: CliRunner, tmp_path: Path) -> None:
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(f"{LATER}\n{OTHER}\nno json\n")
    second.write_text(f"{EARLIER}\n" + '{"time":"t3","requ')
    result = runner.invoke(app, ["timeline", "r1", str(first), str(second)])
    assert result.exit_code == 0
    shown = [line for line in result.output.splitlines() if line.startswith("t")]
    assert ["placed" in shown[0], "answered" in shown[1], len(shown)] == [True, True, 2]
    assert "1 lines are cut off" in result.output


def test_standard_input_and_json(runner: CliRunner) -> None:
    result = runner.invoke(app, ["timeline", "r1", "--json"], input=f"{EARLIER}\n")
    assert result.output == EARLIER.removeprefix("e-2 ") + "\n"


def test_an_unknown_id_is_said(runner: CliRunner) -> None:
    result = runner.invoke(app, ["timeline", "r9"], input=f"{LATER}\n")
    assert isinstance(result.exception, CommandError)
    assert "no line names r9" in str(result.exception)
