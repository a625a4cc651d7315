"""Two runs of one experiment side by side."""

from typing import Any

from caperridge.findings import Finding, FindingsError
from caperridge.measure.report import RUN, numbers, shown

SAME = ("seed", "settings", "versions", "machine")


def check_run(file: str, value: Any) -> list[Finding]:
    """Return what keeps ``value`` from being a recorded run."""
    if not isinstance(value, dict):
        return [Finding(file, "-", "is not the record of a run")]
    run = value.get(RUN)
    if not isinstance(run, dict) or not isinstance(run.get("experiment"), str):
        return [Finding(file, RUN, "does not say of which experiment it is")]
    return []


def compare(
    first: dict[str, Any], second: dict[str, Any], files: tuple[str, str]
) -> dict[str, Any]:
    """Return each figure of both runs, its ratio, and what differs in the set-up.

    Args:
        first: a recorded run.
        second: another one of the same experiment.
        files: where each came from.

    Raises:
        FindingsError: one is no run, or they are of different experiments.
    """
    findings = check_run(files[0], first) + check_run(files[1], second)
    if findings:
        raise FindingsError(findings)
    names = first[RUN]["experiment"], second[RUN]["experiment"]
    if names[0] != names[1]:
        text = f"is of {names[1]}, the other of {names[0]}"
        raise FindingsError([Finding(files[1], f"{RUN}.experiment", text)])
    figures_by_path: dict[str, dict[str, float | None]] = {}
    a = dict(numbers({k: v for k, v in first.items() if k != RUN}))
    b = dict(numbers({k: v for k, v in second.items() if k != RUN}))
    for path in dict.fromkeys([*a, *b]):
        figures_by_path[path] = {
            "a": a.get(path),
            "b": b.get(path),
            "b_to_a": _ratio(a.get(path), b.get(path)),
        }
    differs = [key for key in SAME if first[RUN].get(key) != second[RUN].get(key)]
    return {
        "experiment": names[0],
        "differs": differs,
        "figures_by_path": figures_by_path,
    }


def _ratio(a: float | None, b: float | None) -> float | None:
    if a is None or b is None or a == 0:
        return None
    return b / a


def table(compared: dict[str, Any]) -> str:
    """Return the comparison as text for a terminal."""
    rows = [["figure", "A", "B", "B/A"]]
    for path, figure in compared["figures_by_path"].items():
        rows.append([path, *(shown(figure[key]) for key in ("a", "b", "b_to_a"))])
    widths = [max(len(row[column]) for row in rows) for column in range(4)]
    lines = [f"{compared['experiment']}: B against A"]
    if compared["differs"]:
        lines.append("not the same in both: " + ", ".join(compared["differs"]))
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        cells += [
            cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)
        ]
        lines.append("  ".join(cells))
    return "\n".join(lines)
