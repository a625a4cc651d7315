"""The command that runs experiments."""

import asyncio
import json
from typing import Annotated

import typer

from caperridge.cli.errors import FINDINGS, CommandError
from caperridge.measure import registry
from caperridge.measure.options import Options


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("measure")(measure)


def measure(
    name: Annotated[str, typer.Argument(help="Name of the experiment.")],
    seed: Annotated[int, typer.Option(help="Seed of every random choice.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length; 0: its own.")] = 0.0,
    as_json: Annotated[bool, typer.Option("--json", help="End with JSON.")] = False,
) -> None:
    """Run one experiment against stand-ins on loopback."""
    if name not in registry.MODULES_BY_NAME:
        known = ", ".join(registry.MODULES_BY_NAME)
        raise CommandError(f"no experiment {name!r}; there are {known}", FINDINGS)
    figures = asyncio.run(registry.load(name)(Options(seed, seconds)))
    typer.echo(json.dumps(figures) if as_json else json.dumps(figures, indent=2))
