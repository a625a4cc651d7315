"""The command that plays the demo."""

import asyncio
import json
from typing import Annotated

import typer

from caperridge import log
from caperridge.cli.errors import BAD_RESULT

QUIET = "CRITICAL"


def register(app: typer.Typer) -> None:
    """Add the command of this module."""
    app.command("demo")(demo)


def demo(
    as_json: Annotated[
        bool, typer.Option("--json", help="Only the JSON line on stdout.")
    ] = False,
    log_level: Annotated[
        str, typer.Option("--log-level", help="Of the JSON lines on stderr.")
    ] = QUIET,
) -> None:
    """Play the main job with its faults, on loopback, in under a minute."""
    from caperridge.demo.story import Story

    log.setup(log_level)
    story = Story(lambda text: typer.echo(text, err=as_json))
    tally = asyncio.run(story.run())
    typer.echo(json.dumps(tally.to_map()))
    if not tally.good:
        raise typer.Exit(BAD_RESULT)
