"""Long commands as processes: how they start, log, and end on a signal."""

import asyncio
import json
import signal
from pathlib import Path

import pytest

from caperridge.standins.platform import MemoryPlatform, make_app
from cli.conftest import Run, Start, end_of
from conftest import Listen

INSTANCE = """
[instance]
id = "instance-1"
availability_zone = "oviedo"
[platform]
endpoint = "{endpoint}"
deadline_s = 0.5
[stop]
balancer_s = 0.01
drain_s = 1
[log]
level = "DEBUG"
"""
NOWHERE = "http://127.0.0.1:9"


async def logged(process: asyncio.subprocess.Process, message: str) -> dict[str, str]:
    """Return the line with ``message``; every line before it is JSON, too."""
    assert process.stderr is not None
    async with asyncio.timeout(20):
        while True:
            line = json.loads(await process.stderr.readline())
            if line["message"] == message:
                return line


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_an_instance_ends_as_planned_with_json_lines_only(
    start: Start,
    listen: Listen,
    memory: MemoryPlatform,
    tmp_path: Path,
    number: signal.Signals,
) -> None:
    file = tmp_path / "instance.toml"
    endpoint = f"http://{await listen(make_app(memory))}"
    file.write_text(INSTANCE.format(endpoint=endpoint))
    process = await start("serve", "--settings", str(file))
    line = await logged(process, "instance started")
    assert line["instance"] == "instance-1"
    assert {"time", "level", "logger", "callers", "operators"} <= line.keys()
    process.send_signal(number)
    ended = await end_of(process)
    assert ended.code == 0
    lines = [json.loads(line) for line in ended.err.splitlines()]
    stages = [line["stage"] for line in lines if "stage" in line]
    assert (stages[0], stages[-1]) == ("not_ready", "stopped")
    assert ended.out == ""


async def test_an_instance_waits_for_an_absent_platform(
    start: Start, tmp_path: Path
) -> None:
    file = tmp_path / "instance.toml"
    file.write_text(INSTANCE.format(endpoint=NOWHERE))
    process = await start("serve", "--settings", str(file))
    line = await logged(process, "not ready yet")
    assert "it does not know the configuration yet" in line["because"]
    process.send_signal(signal.SIGTERM)
    assert (await end_of(process)).code == 0


async def test_a_port_in_use_is_named(
    run: Run, listen: Listen, memory: MemoryPlatform, tmp_path: Path
) -> None:
    address = await listen(make_app(memory))
    text = INSTANCE.format(endpoint=NOWHERE) + f'[listen]\ncallers = "{address}"\n'
    file = tmp_path / "instance.toml"
    file.write_text(text)
    ended = await run("serve", "--settings", str(file))
    assert ended.code == 5
    assert "address already in use" in ended.err
    assert address.rpartition(":")[2] in ended.err
    ended = await run("standin", "weights", "--listen", address)
    assert ended.code == 5


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_a_stand_in_ends_cleanly(start: Start, number: signal.Signals) -> None:
    process = await start("standin", "engine")
    assert process.stdout is not None
    assert b"127.0.0.1:" in await process.stdout.readline()
    process.send_signal(number)
    ended = await end_of(process)
    assert (ended.code, ended.err) == (0, "")


async def test_ctrl_c_ends_the_demo_cleanly(start: Start) -> None:
    process = await start("demo")
    assert process.stdout is not None
    await process.stdout.readline()
    process.send_signal(signal.SIGINT)
    assert (await end_of(process)).code == 130
