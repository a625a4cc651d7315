"""Commands that run a stand-in of an outside system."""

import asyncio
import time
from typing import Annotated

import typer
from aiohttp import web

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

    _run(make_app(MemoryPlatform(time.monotonic)), listen)


def engine(listen: Listen = "127.0.0.1:0") -> None:
    """Run a model engine."""
    from caperridge.standins.engine import Engine, make_app

    async def build() -> web.Application:
        return make_app(Engine())

    _run(build(), listen)


def weights(listen: Listen = "127.0.0.1:0") -> None:
    """Run the weight store."""
    from caperridge.standins.weights import WeightStore, make_app

    _run(make_app(WeightStore()), listen)


def plain(listen: Listen = "127.0.0.1:0") -> None:
    """Run a plain service."""
    from caperridge.standins.plain import PlainService, make_app

    _run(make_app(PlainService()), listen)


def _run(app: web.Application, listen: str) -> None:
    address = Address.parse(listen)
    asyncio.run(_serve(app, address))


async def _serve(app: web.Application, address: Address) -> None:
    if asyncio.iscoroutine(app):
        app = await app
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    host, port = runner.addresses[0][:2]
    typer.echo(f"{host}:{port}")
    await asyncio.Event().wait()
