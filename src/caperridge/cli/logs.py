"""The command that puts one request's log lines of many instances together."""

import sys
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer

from caperridge.cli.errors import FINDINGS, CommandError

# What a line may name its subject by.
SUBJECTS = ("request", "job", "item", "target", "peer")
_SHOWN_FIRST = ("time", "level", "logger", "message")

Files = Annotated[
    list[Path] | None, typer.Argument(help="Log files; standard input if none.")
]


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("timeline")(timeline)


def timeline(
    id: Annotated[str, typer.Argument(help="Of a request, job, item or target.")],
    files: Files = None,
    as_json: Annotated[bool, typer.Option("--json", help="One object a line.")] = False,
) -> None:
    """Show what instances logged of one request, job, item or target, in order.

    Lines may stand behind other text, such as the name of the instance that wrote
    them; what is no JSON is skipped and counted.
    """
    found: list[tuple[str, str, dict[str, Any]]] = []
    skipped = 0
    for text in _lines(files or []):
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = orjson.loads(text[start:])
        except ValueError:
            skipped += 1
            continue
        if any(_names(fields.get(subject), id) for subject in SUBJECTS):
            found.append((str(fields.get("time", "")), text[:start].strip(), fields))
    found.sort(key=lambda one: one[0])
    if skipped:
        typer.echo(f"{skipped} lines are cut off or no JSON", err=True)
    if not found:
        raise CommandError(f"no line names {id}", FINDINGS)
    for _, source, fields in found:
        typer.echo(orjson.dumps(fields).decode() if as_json else _shown(source, fields))


def _names(value: Any, id: str) -> bool:
    """Whether a field names ``id``, or a life of the target of that name.

    >>> _names("i-7f3a@1790000000000", "i-7f3a"), _names("i-7f3ac", "i-7f3a")
    (True, False)
    """
    return value == id or (isinstance(value, str) and value.startswith(f"{id}@"))


def _lines(files: list[Path]) -> list[str]:
    if not files:
        return sys.stdin.read().splitlines()
    lines: list[str] = []
    for path in files:
        try:
            lines += path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise CommandError(str(error), FINDINGS) from error
    return lines


def _shown(source: str, fields: dict[str, Any]) -> str:
    inputs = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in _SHOWN_FIRST
    )
    head = f"{fields.get('time', '')} {fields.get('level', ''):7}"
    return f"{head} {source} {fields.get('message', '')}: {inputs}"
