"""Commands for operators: intents, the log of versions, dump, explain."""

import json
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import typer

from caperridge.cli import client
from caperridge.cli.errors import BAD_RESULT, CommandError

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
WaitS = Annotated[
    float, typer.Option("--wait", help="Wait up to so many seconds until in force.")
]
WAIT_POLL_S = 0.5


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("plan")(plan)
    app.command("confirm")(confirm)
    app.command("rollback")(rollback)
    app.command("history")(history)
    app.command("diff")(diff)
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
    wait_s: WaitS = 0.0,
    as_json: Json = False,
) -> None:
    """Make a planned declaration the configuration.

    Asked again with the same digest, it says what became of the first time.
    """
    body = {"files": client.read_declarations(directory), "digest": digest}
    _confirm(body, at, token, wait_s, as_json)


def rollback(
    version: Annotated[int, typer.Argument(help="Version whose content to restore.")],
    at: At,
    token: Token,
    digest: Annotated[
        str, typer.Option("--confirm", help="Digest of the plan; without it: plan.")
    ] = "",
    wait_s: WaitS = 0.0,
    as_json: Json = False,
) -> None:
    """Plan, or confirm, a new version with the content of an earlier one."""
    if digest:
        body = {"rollback_to": version, "digest": digest}
        _confirm(body, at, token, wait_s, as_json)
        return
    answer = client.call("POST", f"{at}/intents", token, {"rollback_to": version})
    if as_json:
        typer.echo(json.dumps(answer["plan"]))
        return
    show_plan(answer["plan"])


def _confirm(
    body: dict[str, Any], at: str, token: str, wait_s: float, as_json: bool
) -> None:
    answer = client.call("POST", f"{at}/intents/confirm", token, body)
    missing: list[str] = []
    if wait_s > 0:
        answer["in_force"] = _wait(at, token, answer["version"], wait_s)
        found = answer["in_force"]
        missing = [*found["behind"], *found["not_reached"]]
    if as_json:
        typer.echo(json.dumps(answer))
    else:
        show_confirmed(answer)
    if missing:
        text = f"not known to be in force at {len(missing)}: {', '.join(missing)}"
        raise CommandError(text, BAD_RESULT)


def _wait(at: str, token: str, version: int, wait_s: float) -> dict[str, Any]:
    """Return where ``version`` is in force, at the latest after ``wait_s``."""
    until = time.monotonic() + wait_s
    while True:
        url = f"{at}/configuration/in-force?version={version}"
        found = client.call("GET", url, token)
        missing = found["behind"] or found["not_reached"]
        if not missing or time.monotonic() >= until:
            return found
        time.sleep(WAIT_POLL_S)


def history(
    at: At,
    token: Token,
    limit: Annotated[int, typer.Option(help="How many versions.")] = 20,
    as_json: Json = False,
) -> None:
    """Show the newest versions: when, who, how much, and what it went back to."""
    url = f"{at}/configuration/history?limit={limit}"
    versions = client.call("GET", url, token)["versions"]
    if as_json:
        typer.echo(json.dumps(versions))
        return
    for entry in versions:
        when = datetime.fromtimestamp(entry["at"], UTC).isoformat(timespec="seconds")
        line = f"{entry['version']:>7}  {when}  {entry['operator']:<16}"
        line += f"  {entry['changes']} changes"
        if entry["rollback_to"]:
            line += f", back to {entry['rollback_to']}"
        typer.echo(line)


def diff(
    before: Annotated[int, typer.Argument(help="The earlier version.")],
    after: Annotated[int, typer.Argument(help="The later version.")],
    at: At,
    token: Token,
    as_json: Json = False,
) -> None:
    """Show what differs between two versions."""
    url = f"{at}/configuration/diff?from={before}&to={after}"
    answer = client.call("GET", url, token)
    if as_json:
        typer.echo(json.dumps(answer))
        return
    show_changes(answer["changes"])


def dump(at: At, token: Token) -> None:
    """Show the state of one instance."""
    typer.echo(json.dumps(client.call("GET", f"{at}/state", token), indent=2))


def explain(request_id: str, at: At, token: Token, as_json: Json = False) -> None:
    """Show each step of a request with its reason."""
    trace = client.call("GET", f"{at}/requests/{quote(request_id, safe='')}", token)
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
    show_changes(shown["changes"])
    for effect in shown["effects"]:
        typer.echo(f"  then: {effect}")
    for warning in shown["warnings"]:
        typer.echo(f"  beware: {warning}")
    typer.echo(f"digest {shown['digest']}")


def show_changes(changes: list[dict[str, Any]]) -> None:
    """Print what differs, for a person."""
    for change in changes:
        typer.echo(f"  {change['action']:<7} {change['table']}.{change['name']}")
        for field, (before, after) in change["fields"].items():
            typer.echo(f"          {field}: {before!r} -> {after!r}")
    if not changes:
        typer.echo("  nothing would change")


def show_confirmed(answer: dict[str, Any]) -> None:
    """Print what became of a confirm, for a person."""
    how = "was confirmed before" if answer["already"] else "is confirmed"
    typer.echo(f"version {answer['version']} {how}, by {answer['operator']}")
    found = answer.get("in_force")
    if found is None:
        return
    typer.echo(
        f"  in force at {len(found['in_force'])}: {', '.join(found['in_force'])}"
    )
    for instance, version in found["behind"].items():
        typer.echo(f"  {instance} was last heard at version {version}")
    for instance in found["not_reached"]:
        typer.echo(f"  {instance} was not reached")
