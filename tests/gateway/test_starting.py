"""The start of an instance that runs as a process."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from gateway.conftest import SETTINGS, World, free_address

ROOT = Path(__file__).parents[2]
PACKAGE = b"caperridge"


# Guards against a SIGHUP that kills a starting process. No handler was installed until
# the modules were imported, which takes half a second or more on a loaded machine.
async def test_a_reload_while_it_starts_does_not_end_it(
    world: World, tmp_path: Path
) -> None:
    callers, ready, peers = (free_address() for _ in range(3))
    settings = tmp_path / "local.toml"
    settings.write_text(
        SETTINGS.format(
            id="e-1",
            zone="a",
            callers=callers,
            ready=ready,
            peers=peers,
            seeds=[],
            store=world.store_address,
            grace_s=4,
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-X",
        "importtime",  # prints each imported module
        str(ROOT / "deploy" / "instance.py"),
        env=os.environ | {"CAPERRIDGE_CONFIG": str(settings)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None and process.stderr is not None
    telling = None
    try:
        async with asyncio.timeout(20):
            while PACKAGE not in await process.stderr.readline():
                assert not process.stderr.at_eof()
            telling = asyncio.ensure_future(process.stderr.read())
            process.send_signal(signal.SIGHUP)
            seen = b""
            while b"settings reloaded" not in seen:
                line = await process.stdout.readline()
                assert line, f"it ended with {await process.wait()}"
                seen += line
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        if telling is not None:
            await telling
