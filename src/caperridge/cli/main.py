"""The ``caperridge`` command; its exit codes stand in :mod:`caperridge.cli.errors`."""

import sys

import typer

from caperridge import __version__
from caperridge.cli import (
    demo,
    instances,
    jobs,
    logs,
    measure,
    operators,
    standins,
    tokens,
)
from caperridge.cli.errors import INTERRUPTED, CommandError

app = typer.Typer(
    name="caperridge",
    help="Online and batch inference on one fleet.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
instances.register(app)
operators.register(app)
jobs.register(app)
tokens.register(app)
logs.register(app)
standins.register(app)
measure.register(app)
demo.register(app)


def _version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"caperridge {__version__}")
        raise typer.Exit


@app.callback()
def _options(
    version: bool = typer.Option(
        False, "--version", callback=_version, is_eager=True, help="Show the version."
    ),
) -> None:
    """Online and batch inference on one fleet."""


def main() -> None:
    """Run the command; what a person got wrong ends without a traceback."""
    try:
        app()
    except CommandError as error:
        typer.echo(f"caperridge: {error}", err=True)
        sys.exit(error.code)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)
