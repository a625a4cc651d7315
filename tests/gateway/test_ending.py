"""The process of a stopped instance exits, whichever of its parts hangs."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from gateway.conftest import SETTINGS, World, free_address

SOURCES = Path(__file__).parents[2] / "src"
PROGRAM = """
import asyncio
import time

from caperridge.gateway.mesh.mesh import Mesh
from caperridge.platform import serve


async def forever():
    while True:
        try:
            await asyncio.sleep(600)
        except asyncio.CancelledError:
            pass  # like code that mistakes the cancellation for an error of its own


async def with_thread(self):
    asyncio.get_running_loop().run_in_executor(None, time.sleep, 600)


async def with_task(self):
    self.lasting = asyncio.ensure_future(forever())


async def waits(self):
    await asyncio.sleep(600)


async def goes_on(self):
    await forever()


async def blocks(self):
    time.sleep(600)


async def fails(self):
    raise OSError("it broke")


Mesh.stop = {hanging}
serve.main()
"""


async def stopped(world: World, folder: Path, hanging: str) -> tuple[int | None, str]:
    """Start and stop an instance; return its exit code and its log."""
    settings = folder / "local.toml"
    callers, ready, peers = (free_address() for _ in range(3))
    settings.write_text(
        SETTINGS.format(
            id="e-1",
            zone="a",
            callers=callers,
            ready=ready,
            peers=peers,
            seeds=[],
            store=world.store_address,
            grace_s=2,
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM.format(hanging=hanging),
        env=os.environ
        | {"CAPERRIDGE_CONFIG": str(settings), "PYTHONPATH": str(SOURCES)},
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    seen = b""
    try:
        async with asyncio.timeout(20):
            while b"instance started" not in seen:
                line = await process.stdout.readline()
                assert line, f"it ended with {await process.wait()}"
                seen += line
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(20):
            seen += await process.stdout.read()
            await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return process.returncode, seen.decode()


@pytest.mark.parametrize("hanging", ["with_thread", "with_task"])
async def test_nothing_that_is_left_keeps_a_stopped_process(
    world: World, tmp_path: Path, hanging: str
) -> None:
    code, text = await stopped(world, tmp_path, hanging)
    assert code == 0
    assert "instance stopped" in text


@pytest.mark.parametrize("hanging", ["waits", "goes_on", "fails"])
async def test_a_part_that_does_not_close_is_named_and_left(
    world: World, tmp_path: Path, hanging: str
) -> None:
    code, text = await stopped(world, tmp_path, hanging)
    assert code == 0
    assert '"message":"not closed","part":"peers"' in text


async def test_a_loop_that_stands_still_is_told_of_and_left(
    world: World, tmp_path: Path
) -> None:
    code, text = await stopped(world, tmp_path, "blocks")
    assert code == 0
    assert '"message":"event loop stalled during close"' in text
    assert "in blocks" in text


async def test_what_closing_took_is_logged(world: World, tmp_path: Path) -> None:
    code, text = await stopped(world, tmp_path, "Mesh.stop")
    assert code == 0
    assert '"message":"instance closed"' in text
    assert "not closed" not in text
