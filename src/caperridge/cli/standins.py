"""Commands that run a stand-in of an outside system."""

import asyncio
import signal
import time
from collections.abc import Callable
from typing import Annotated

import typer
from aiohttp import web

from caperridge.cli.errors import FINDINGS, NOT_REACHED, CommandError
from caperridge.settings import Address

Listen = Annotated[str, typer.Option("--listen", help="host:port; port 0 asks for one")]


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    group = typer.Typer(help="Run a stand-in of an outside system.")
    group.command("platform")(platform)
    group.command("engine")(engine)
    group.command("weights")(weights)
    group.command("plain")(plain)
    app.add_typer(group, name="standin")


def platform(listen: Listen = "127.0.0.1:0") -> None:
    """Run the platform: table, objects, list of members."""
    from caperridge.standins.platform import MemoryPlatform, make_app

    _run(lambda: make_app(MemoryPlatform(time.monotonic)), listen)


def engine(listen: Listen = "127.0.0.1:0") -> None:
    """Run a model engine."""
    from caperridge.standins.engine import Engine, make_app

    _run(lambda: make_app(Engine()), listen)


def weights(listen: Listen = "127.0.0.1:0") -> None:
    """Run the weight store."""
    from caperridge.standins.weights import WeightStore, make_app

    _run(lambda: make_app(WeightStore()), listen)


def plain(listen: Listen = "127.0.0.1:0") -> None:
    """Run a plain service."""
    from caperridge.standins.plain import PlainService, make_app

    _run(lambda: make_app(PlainService()), listen)


def _run(build: Callable[[], web.Application], listen: str) -> None:
    try:
        address = Address.parse(listen)
    except ValueError as error:
        raise CommandError(f"--listen {listen}: {error}", FINDINGS) from error
    try:
        asyncio.run(_serve(build, address))
    except OSError as error:
        raise CommandError(str(error), NOT_REACHED) from error


async def _serve(build: Callable[[], web.Application], address: Address) -> None:
    # Built here, since some stand-ins need the running loop.
    runner = web.AppRunner(
        build(), access_log=None, handler_cancellation=True, shutdown_timeout=1.0
    )
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    host, port = runner.addresses[0][:2]
    typer.echo(f"{host}:{port}")
    await ended.wait()
    await runner.cleanup()
