"""The command line as a process of its own, as a person runs it."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from typer.testing import CliRunner

from caperridge.cli.errors import CommandError
from caperridge.cli.main import app
from conftest import CALLER, OPERATOR, Fleet

SOURCE = Path(__file__).parents[2] / "src"
DEADLINE_S = 30.0


class Ended:
    """How a command ended."""

    def __init__(self, code: int, out: str, err: str) -> None:
        self.code = code
        self.out = out
        self.err = err
        assert "Traceback" not in err, err


Start = Callable[..., Awaitable[asyncio.subprocess.Process]]
Run = Callable[..., Awaitable[Ended]]


@pytest.fixture
async def start():
    """Start ``caperridge`` with arguments and variables; ended after the test."""
    processes: list[asyncio.subprocess.Process] = []

    async def one(*arguments: str, **variables: str) -> asyncio.subprocess.Process:
        environment = {"PYTHONPATH": str(SOURCE), "PATH": os.environ["PATH"]}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "caperridge",
            *arguments,
            env=environment | variables,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        processes.append(process)
        return process

    yield one
    for process in processes:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def end_of(process: asyncio.subprocess.Process) -> Ended:
    """Wait for the end of a command."""
    async with asyncio.timeout(DEADLINE_S):
        out, err = await process.communicate()
    return Ended(process.returncode or 0, out.decode(), err.decode())


@pytest.fixture
def run(start: Start) -> Run:
    """Run ``caperridge`` to its end."""

    async def one(*arguments: str, **variables: str) -> Ended:
        return await end_of(await start(*arguments, **variables))

    return one


@pytest.fixture
def run_here() -> Run:
    """Run ``caperridge`` in a thread of this process: faster, without signals."""

    async def one(*arguments: str, **variables: str) -> Ended:
        runner = CliRunner()
        ended = await asyncio.to_thread(runner.invoke, app, arguments, env=variables)
        if isinstance(ended.exception, CommandError):
            return Ended(ended.exception.code, ended.stdout, str(ended.exception))
        assert isinstance(ended.exception, SystemExit | None), ended.exception
        return Ended(ended.exit_code, ended.stdout, ended.stderr)

    return one


@pytest.fixture
def as_caller(fleet: Fleet) -> dict[str, str]:
    """The variables of a caller."""
    return {"CAPERRIDGE_CALLERS": fleet.callers_url, "CAPERRIDGE_TOKEN": CALLER}


@pytest.fixture
def as_operator(fleet: Fleet) -> dict[str, str]:
    """The variables of an operator."""
    return {"CAPERRIDGE_OPERATORS": fleet.operators_url, "CAPERRIDGE_TOKEN": OPERATOR}
