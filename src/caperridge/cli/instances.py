"""Commands that run an instance or check its settings."""

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import Annotated

import typer

from caperridge import elapsed, log, settings
from caperridge.cli.errors import CUT, FINDINGS, NOT_REACHED, CommandError
from caperridge.findings import FindingsError

SettingsFile = Annotated[Path, typer.Option("--settings", help="A TOML file.")]


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("serve")(serve)
    app.command("check")(check)


def load(path: Path) -> settings.Settings:
    """Return the settings in ``path``.

    Raises:
        CommandError: with every finding.
    """
    try:
        return settings.load(path)
    except FindingsError as error:
        raise CommandError(str(error), FINDINGS) from error


def check(path: SettingsFile) -> None:
    """Check the settings and say what is wrong, all at once."""
    load(path)
    typer.echo(f"{path}: nothing is wrong")


def serve(path: SettingsFile) -> None:
    """Run one instance until SIGTERM; a second signal ends it sooner."""
    loaded = load(path)
    log.setup(loaded.log_level)
    try:
        cut = elapsed.run(_serve(loaded))
    except OSError as error:
        raise CommandError(str(error), NOT_REACHED) from error
    if cut:
        raise CommandError(f"the stop cut {cut} requests; the log names them", CUT)


async def _serve(loaded: settings.Settings) -> int:
    """Return how many requests the stop cut."""
    from caperridge.instance.process import Instance

    instance = Instance(loaded)
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[int] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    await instance.start()
    await signals.get()
    drain = loop.create_task(instance.drain.run())
    second = loop.create_task(signals.get())
    await asyncio.wait({drain, second}, return_when=asyncio.FIRST_COMPLETED)
    sooner = not drain.done()
    for task in (drain, second):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    if sooner:
        await instance.drain.end_now()
    await instance.stop()
    return len(instance.drain.cut)
