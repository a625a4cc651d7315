"""What a run leaves behind: its figures with where they came from, as JSON and text."""

import importlib.metadata
import os
import platform
from collections.abc import Iterator
from typing import Any

from caperridge import __version__
from caperridge.measure.options import Options

RUN = "run"
LIBRARIES = ("aiohttp", "hdrhistogram", "msgpack", "orjson", "prometheus_client")
GIB = 2**30
MOST_COLUMNS = 9
MOST_ROWS = 60


def versions() -> dict[str, str]:
    """Return the versions of Python, of the main libraries and of caperridge."""
    found = {"python": platform.python_version(), "caperridge": __version__}
    for name in LIBRARIES:
        try:
            found[name] = importlib.metadata.version(name)
        except importlib.metadata.PackageNotFoundError:
            found[name] = "not found"
    return found


def machine() -> dict[str, Any]:
    """Return the machine's size; nothing that names it."""
    pages, page = os.sysconf("SC_PHYS_PAGES"), os.sysconf("SC_PAGE_SIZE")
    return {
        "cores": os.cpu_count(),
        "memory_gib": round(pages * page / GIB, 1),
        "architecture": platform.machine(),
    }


def with_run(
    name: str, options: Options, took_s: float, figures: dict[str, Any]
) -> dict[str, Any]:
    """Return ``figures`` with a ``run`` that says how they came about."""
    run = {
        "experiment": name,
        "seed": options.seed,
        "settings": options.to_map(),
        "took_s": round(took_s, 1),
        "versions": versions(),
        "machine": machine(),
    }
    return {**figures, RUN: run}


def numbers(value: Any, path: str = "") -> Iterator[tuple[str, float]]:
    """Yield each number in ``value`` with its path.

    >>> list(numbers({"a": 1, "b": [{"c": 2.5}, {"c": 3}], "d": "text", "e": True}))
    [('a', 1), ('b.0.c', 2.5), ('b.1.c', 3)]
    """
    if isinstance(value, bool):
        return
    if isinstance(value, int | float):
        yield path, value
        return
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        yield from numbers(item, f"{path}.{key}" if path else str(key))


def shown(value: Any) -> str:
    """Return a figure as a person reads it.

    >>> shown(14339.2498), shown(0.012345), shown(7), shown(None), shown("x")
    ('14,339', '0.0123', '7', '-', 'x')
    """
    if value is None:
        return "-"
    if isinstance(value, bool) or not isinstance(value, int | float):
        return str(value)
    if isinstance(value, int) or abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def markdown(figures: dict[str, Any]) -> str:
    """Return the report of one run as Markdown."""
    run = figures[RUN]
    lines = [f"# {run['experiment']}", ""]
    size = run["machine"]
    made_with = ", ".join(f"{name} {v}" for name, v in run["versions"].items())
    lines += [
        f"Seed {run['seed']}, {run['took_s']} s, {size['cores']} cores, "
        f"{size['memory_gib']} GiB, {size['architecture']}; {made_with}.",
        "",
    ]
    plain = {k: v for k, v in figures.items() if k != RUN and not _nested(v)}
    if plain:
        lines += _table(["figure", "value"], [[k, v] for k, v in plain.items()])
    for name, value in figures.items():
        if name == RUN or name in plain:
            continue
        lines += [f"## {name}", "", *_section(value)]
    return "\n".join(lines).rstrip() + "\n"


def _nested(value: Any) -> bool:
    return isinstance(value, dict | list)


def _section(value: Any) -> list[str]:
    rows = _rows(value)
    if rows is not None:
        columns = list(dict.fromkeys(key for row in rows for key in row))
        if len(columns) <= MOST_COLUMNS:
            return _table(columns, [[row.get(c) for c in columns] for row in rows])
        if len(rows) < MOST_COLUMNS:
            return _turned(value, columns, rows)
    pairs = list(numbers(value))
    if not pairs:
        return [f"`{value}`", ""]
    table = _table(["figure", "value"], [list(pair) for pair in pairs[:MOST_ROWS]])
    if len(pairs) > MOST_ROWS:
        table += [f"{len(pairs) - MOST_ROWS} more are in the JSON.", ""]
    return table


def _turned(value: Any, columns: list[str], rows: list[dict[str, Any]]) -> list[str]:
    """Return the table with a line for each figure, and a column for each row."""
    names = list(value) if isinstance(value, dict) else list(range(len(rows)))
    lines = [[c, *(row.get(c) for row in rows)] for c in columns if c]
    return _table(["figure", *map(str, names)], lines)


def _rows(value: Any) -> list[dict[str, Any]] | None:
    """Return ``value`` as the rows of a table, if it has that shape."""
    if isinstance(value, dict) and value and all(map(_flat, value.values())):
        return [{"": key, **row} for key, row in value.items()]
    if isinstance(value, list) and value and all(map(_flat, value)):
        return value
    return None


def _flat(value: Any) -> bool:
    return isinstance(value, dict) and not any(map(_nested, value.values()))


def _table(columns: list[str], rows: list[list[Any]]) -> list[str]:
    lines = ["| " + " | ".join(columns) + " |"]
    lines.append("|" + "---|" * len(columns))
    for row in rows:
        lines.append("| " + " | ".join(shown(cell) for cell in row) + " |")
    return [*lines, ""]
