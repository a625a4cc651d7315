"""Plays single troubles on a deployment's calm day and prints what broke.

    python3 deploy/days/play.py BENCH SITE [NAME ...]

BENCH is the users' bench, SITE a deployment file of theirs. Each trouble of
``troubles.toml`` is played early, late and a second time while the first still lasts.
"""

import re
import subprocess
import sys
import tempfile
import tomllib
from functools import singledispatch
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
# Seconds from the start of traffic: early, overlapping it, and late in the day.
MOMENTS_S = (2.0, 4.5, 24.0)
# What the bench calls planned work; the rest are faults.
PLANNED = frozenset({"scale_in", "scale_out", "hup", "roll_term"})
BROKEN = re.compile(r"BROKEN: ([A-Z, a-z]+)")


@singledispatch
def inline(value: Any) -> str:
    """Return ``value`` as TOML that stands on one line.

    >>> inline({"at": 2.0, "kinds": ["a", "b"], "on": True})
    '{ at = 2.0, kinds = ["a", "b"], on = true }'
    """
    return repr(value)


@inline.register
def _(value: str) -> str:
    return f'"{value}"'


@inline.register
def _(value: bool) -> str:
    return str(value).lower()


@inline.register
def _(value: list) -> str:
    return "[" + ", ".join(inline(one) for one in value) + "]"


@inline.register
def _(value: dict) -> str:
    return "{ " + ", ".join(f"{key} = {inline(value[key])}" for key in value) + " }"


def day_of(calm: dict[str, Any], trouble: dict[str, Any]) -> str:
    """Return a day file: the calm day with ``trouble`` at each of the moments."""
    entries = [{"at": moment, **trouble} for moment in MOMENTS_S]
    part = "plan" if trouble["kind"] in PLANNED else "faults"
    day = calm | {"slot": "trouble", "light": False}
    day[part] = [*calm.get(part, []), *entries]
    return "".join(f"{key} = {inline(value)}\n" for key, value in day.items())


def play(bench: str, site: str, day: Path, why: str) -> str:
    """Play a day; return the bench's line on it, or the last one that it printed."""
    command = [bench, "run", site, str(day), "--jobs", "1", "--why", why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    lines = (done.stdout + done.stderr).splitlines()
    for line in lines:
        if line.startswith(day.stem):
            return line
    return lines[-1] if lines else f"the bench ended with {done.returncode}"


def main(arguments: list[str]) -> int:
    """Play the troubles named, or all; return 1 if one broke a rule."""
    bench, site, *names = arguments
    troubles = tomllib.loads((HERE / "troubles.toml").read_text())
    calm = tomllib.loads(Path(site).read_text())["day"][0]
    broken = 0
    with tempfile.TemporaryDirectory() as folder:
        for name in names or troubles:
            day = Path(folder) / f"{name}.toml"
            day.write_text(day_of(calm | {"name": name}, troubles[name]))
            line = play(bench, site, day, f"single trouble: {name}")
            found = BROKEN.search(line)
            broken += found is not None
            played = "kept" if line.startswith(name) else "not played"
            print(f"{name}: {found[1] if found else played} | {line}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
