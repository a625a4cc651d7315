"""The commands that run experiments, compare runs and recompute the capacity page."""

import asyncio
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer

from caperridge.cli.errors import BAD_RESULT, FINDINGS, CommandError
from caperridge.findings import FindingsError
from caperridge.measure import registry
from caperridge.measure.capacity_page import MarkMissingError, fill
from caperridge.measure.compare import check_run, compare, table
from caperridge.measure.options import Options
from caperridge.measure.plots import PlotsMissingError, draw_all
from caperridge.measure.report import markdown, with_run

SHORT_S = 8.0

OutDir = Annotated[
    Path | None, typer.Option("--out", help="Directory for JSON, report and plots.")
]
Seed = Annotated[int, typer.Option(help="Seed of every random choice.")]
Seconds = Annotated[
    float, typer.Option(min=0.0, help="Length of the load; 0: the experiment's own.")
]
AsJson = Annotated[bool, typer.Option("--json", help="End with one line of JSON.")]

app = typer.Typer(
    help="Run experiments against stand-ins on loopback.", no_args_is_help=True
)


def register(parent: typer.Typer) -> None:
    """Add the commands of this module."""
    for name in registry.MODULES_BY_NAME:
        app.command(name, help=registry.SUMMARIES_BY_NAME[name])(_command(name))
    parent.add_typer(app, name="measure")


def _command(name: str) -> Any:
    def command(
        out: OutDir = None,
        seed: Seed = 1,
        seconds: Seconds = 0.0,
        as_json: AsJson = False,
    ) -> None:
        _prepare(out)
        figures = _run(name, Options(seed, seconds))
        _keep(name, figures, out)
        line = orjson.dumps(figures).decode()
        typer.echo(line if as_json else markdown(figures))

    return command


@app.command("list")
def list_experiments(as_json: AsJson = False) -> None:
    """List the experiments."""
    there = {
        name: text
        for name, text in registry.SUMMARIES_BY_NAME.items()
        if registry.exists(name)
    }
    if as_json:
        typer.echo(orjson.dumps(there).decode())
        return
    for name, text in there.items():
        typer.echo(f"{name:14} {text}")


@app.command("all")
def run_all(
    out: OutDir = None,
    seed: Seed = 1,
    seconds: Seconds = SHORT_S,
    as_json: AsJson = False,
) -> None:
    """Run every experiment, one after the other; by default a short run of each."""
    _prepare(out)
    outcomes_by_name: dict[str, str] = {}
    for name in registry.in_order():
        typer.echo(f"{name} ...", err=True)
        try:
            figures = _run(name, Options(seed, seconds))
        except Exception as error:
            # One experiment that fails must not hide the others' figures.
            outcomes_by_name[name] = f"failed: {type(error).__name__}: {error}"
            typer.echo(f"{name}: {outcomes_by_name[name]}", err=True)
            continue
        _keep(name, figures, out)
        took_s = figures["run"]["took_s"]
        outcomes_by_name[name] = f"done in {took_s} s"
        typer.echo(f"{name}: {outcomes_by_name[name]}", err=True)
    if as_json:
        typer.echo(orjson.dumps(outcomes_by_name).decode())
    if any(text.startswith("failed") for text in outcomes_by_name.values()):
        raise CommandError("not every experiment ran to its end", BAD_RESULT)


@app.command("compare")
def compare_runs(
    first: Annotated[Path, typer.Argument(help="JSON of one run: A.")],
    second: Annotated[Path, typer.Argument(help="JSON of another: B.")],
    as_json: AsJson = False,
) -> None:
    """Set two runs of one experiment side by side."""
    try:
        compared = compare(_read(first), _read(second), (str(first), str(second)))
    except FindingsError as error:
        raise CommandError(str(error), FINDINGS) from error
    typer.echo(orjson.dumps(compared).decode() if as_json else table(compared))


def _run(name: str, options: Options) -> dict[str, Any]:
    try:
        experiment = registry.load(name)
    except ModuleNotFoundError as error:
        raise CommandError(f"{name} is not built yet", FINDINGS) from error
    begun = time.monotonic()
    with _interruptible():
        figures = asyncio.run(experiment(options))
    return with_run(name, options, time.monotonic() - begun, figures)


@contextmanager
def _interruptible() -> Iterator[None]:
    """Let Ctrl-C end an experiment that only computes.

    The event loop's own handler cancels the main task, which such an experiment does
    not notice before its end.
    """
    ours = threading.current_thread() is threading.main_thread()
    # A shell that ignores the signal for its background jobs keeps its way.
    if not ours or signal.getsignal(signal.SIGINT) is not signal.default_int_handler:
        yield
        return
    signal.signal(signal.SIGINT, _interrupt)
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, signal.default_int_handler)


def _interrupt(_number: int, _frame: Any) -> None:
    raise KeyboardInterrupt


def _prepare(out: Path | None) -> None:
    """Make the directory before the run, so that a bad path costs no time."""
    if out is None:
        return
    try:
        out.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise CommandError(f"{out}: {error.strerror}", FINDINGS) from error


def _keep(name: str, figures: dict[str, Any], out: Path | None) -> None:
    if out is None:
        return
    option = orjson.OPT_INDENT_2
    try:
        (out / f"{name}.json").write_bytes(orjson.dumps(figures, option=option) + b"\n")
        (out / f"{name}.md").write_text(markdown(figures))
        paths = draw_all(name, figures, out)
    except OSError as error:
        raise CommandError(f"{out}: {error.strerror}", FINDINGS) from error
    except PlotsMissingError:
        typer.echo("no plots: install caperridge[plots] for them", err=True)
        return
    for path in paths:
        typer.echo(f"wrote {path}", err=True)


def _read(path: Path) -> Any:
    try:
        value = orjson.loads(path.read_bytes())
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", FINDINGS) from error
    except orjson.JSONDecodeError as error:
        raise CommandError(f"{path}: is not JSON: {error}", FINDINGS) from error
    findings = check_run(str(path), value)
    if findings:
        raise CommandError(str(FindingsError(findings)), FINDINGS)
    return value


@app.command("capacity")
def capacity(
    page: Annotated[Path, typer.Option(help="The page to rewrite.")] = Path(
        "docs/CAPACITY.md"
    ),
    runs: Annotated[
        Path, typer.Option("--from", help="Directory of recorded runs.")
    ] = Path("docs/measurements"),
    check: Annotated[
        bool, typer.Option("--check", help="Only say whether it is stale.")
    ] = False,
) -> None:
    """Recompute the tables of the capacity page from recorded runs."""
    recorded = {path.stem: _read(path) for path in sorted(runs.glob("*.json"))}
    if not recorded:
        raise CommandError(f"{runs}: there is no recorded run", FINDINGS)
    try:
        before = page.read_text()
        filled = fill(before, recorded)
        if filled != before and not check:
            page.write_text(filled)
    except OSError as error:
        raise CommandError(f"{page}: {error.strerror}", FINDINGS) from error
    except MarkMissingError as error:
        raise CommandError(f"{page}: has no place for {error}", FINDINGS) from error
    if filled != before and check:
        raise CommandError(f"{page}: is stale", BAD_RESULT)
    state = "is as the runs say" if filled == before else "rewritten"
    typer.echo(f"{page}: {state}")
