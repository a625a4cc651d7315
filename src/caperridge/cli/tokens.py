"""The command that makes a token."""

import json
import secrets
from typing import Annotated

import typer

from caperridge.keys import token_digest

TOKEN_BYTES = 32


def register(app: typer.Typer) -> None:
    """Add the command of this module."""
    app.command("token")(token)


def token(
    as_json: Annotated[
        bool, typer.Option("--json", help="One JSON object on stdout.")
    ] = False,
) -> None:
    """Make a token; the caller gets it, declarations keep only its digest."""
    made = secrets.token_urlsafe(TOKEN_BYTES)
    digest = token_digest(made)
    if as_json:
        typer.echo(json.dumps({"token": made, "token_sha256": digest}))
        return
    typer.echo(f"token         {made}")
    typer.echo(f'token_sha256 = "{digest}"')
