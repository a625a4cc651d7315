"""Commands for operators: plan, confirm, dump, explain."""

import json
from pathlib import Path
from typing import Annotated, Any

import typer

from caperridge.cli import client

Directory = Annotated[Path, typer.Argument(help="Directory of declarations (TOML).")]
At = Annotated[
    str,
    typer.Option(
        "--at", envvar="CAPERRIDGE_OPERATORS", help="URL of an operators' listener."
    ),
]
Token = Annotated[
    str, typer.Option("--token", envvar="CAPERRIDGE_TOKEN", help="Operator's token.")
]
Json = Annotated[bool, typer.Option("--json", help="One JSON object on stdout.")]


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("plan")(plan)
    app.command("confirm")(confirm)
    app.command("dump")(dump)
    app.command("explain")(explain)


def plan(directory: Directory, at: At, token: Token, as_json: Json = False) -> None:
    """Show what the declarations would change; nothing happens."""
    files = client.read_declarations(directory)
    answer = client.call("POST", f"{at}/intents", token, {"files": files})
    if as_json:
        typer.echo(json.dumps(answer["plan"]))
        return
    show_plan(answer["plan"])


def confirm(
    directory: Directory,
    digest: Annotated[str, typer.Argument(help="Digest that `plan` showed.")],
    at: At,
    token: Token,
    as_json: Json = False,
) -> None:
    """Make a planned declaration the configuration."""
    body = {"files": client.read_declarations(directory), "digest": digest}
    answer = client.call("POST", f"{at}/intents/confirm", token, body)
    if as_json:
        typer.echo(json.dumps(answer))
        return
    typer.echo(f"version {answer['version']} is confirmed")


def dump(at: At, token: Token) -> None:
    """Show the state of one instance."""
    typer.echo(json.dumps(client.call("GET", f"{at}/state", token), indent=2))


def explain(request_id: str, at: At, token: Token, as_json: Json = False) -> None:
    """Show each step of a request with its reason."""
    trace = client.call("GET", f"{at}/requests/{request_id}", token)
    if as_json:
        typer.echo(json.dumps(trace))
        return
    first = trace["steps"][0]["at"] if trace["steps"] else 0.0
    for step in trace["steps"]:
        passed_ms = (step["at"] - first) * 1000
        line = f"{passed_ms:9.1f} ms  {step['what']:<10} {step['why']}"
        details = " ".join(f"{k}={v}" for k, v in step["details"].items())
        typer.echo(f"{line}  {details}".rstrip())


def show_plan(shown: dict[str, Any]) -> None:
    """Print a plan for a person."""
    typer.echo(f"against version {shown['base_version']}:")
    for change in shown["changes"]:
        typer.echo(f"  {change['action']:<7} {change['table']}.{change['name']}")
        for field, (before, after) in change["fields"].items():
            typer.echo(f"          {field}: {before!r} -> {after!r}")
    for effect in shown["effects"]:
        typer.echo(f"  then: {effect}")
    for warning in shown["warnings"]:
        typer.echo(f"  beware: {warning}")
    if not shown["changes"]:
        typer.echo("  nothing would change")
    typer.echo(f"digest {shown['digest']}")
