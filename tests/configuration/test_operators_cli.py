"""Tests of the operators' commands against one instance."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner, Result

from caperridge.cli.errors import CommandError
from caperridge.cli.main import app
from conftest import DECLARATION, OPERATOR, Fleet


async def run(fleet: Fleet, *arguments: Any) -> Result:
    """Run a command in a thread, since it runs its own event loop."""
    environment = {
        "CAPERRIDGE_OPERATORS": fleet.operators_url,
        "CAPERRIDGE_TOKEN": OPERATOR,
    }
    words = [str(argument) for argument in arguments]
    return await asyncio.to_thread(CliRunner().invoke, app, words, env=environment)


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    """Return a directory with a declaration that renames the service ``lookup``."""
    (tmp_path / "all.toml").write_text(DECLARATION.replace("lookup", "search"))
    return tmp_path


async def test_from_plan_to_rollback(fleet: Fleet, directory: Path) -> None:
    planned = await run(fleet, "plan", directory)
    assert "against version 1:" in planned.output
    assert "add     services.search" in planned.output
    digest = planned.output.rsplit("digest ", 1)[1].strip()
    confirmed = await run(fleet, "confirm", directory, digest, "--wait", 10)
    assert confirmed.output.splitlines() == [
        "version 2 is confirmed, by ana",
        "  in force at 1: entry-1",
    ]
    again = await run(fleet, "confirm", directory, digest)
    assert again.output.strip() == "version 2 was confirmed before, by ana"
    shown = await run(fleet, "diff", 1, 2)
    assert "remove  services.lookup" in shown.output
    planned = await run(fleet, "rollback", 1)
    digest = planned.output.rsplit("digest ", 1)[1].strip()
    confirmed = await run(fleet, "rollback", 1, "--confirm", digest)
    assert confirmed.output.strip() == "version 3 is confirmed, by ana"
    history = await run(fleet, "history", "--limit", 2)
    lines = history.output.splitlines()
    assert [line.split()[0] for line in lines] == ["3", "2"]
    assert lines[0].endswith("back to 1")


async def test_a_stale_digest_ends_with_the_reason(
    fleet: Fleet, directory: Path
) -> None:
    refused = await run(fleet, "confirm", directory, "1-stale")
    assert isinstance(refused.exception, CommandError)
    assert "head_moved" in str(refused.exception)
    assert "(run: not_run)" in str(refused.exception)
