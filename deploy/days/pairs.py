"""Plays the same days and seeds on several checkouts, side by side, and compares them.

    .venv/bin/python deploy/days/pairs.py BENCH SITE --arm base=../base --arm new=. \
        --day trouble-1 --day trouble-2 --seeds 8 --why "what is asked"

A day varies from play to play with what else the machine does, so each seed is played
on all arms next to each other, and only differences within a seed are compared.
"""

import json
import math
import statistics
import subprocess
import tempfile
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated, Any

import typer

# Plays at a time; half of the machine's processors leave each one as fast as alone.
JOBS = 4
PARTS = ("whole day", "worst windows", "worst class", "worst zone")


class Play:
    """One play of a day.

    Attributes:
        arm: name of the checkout.
        day: that was played.
        seed: of its luck.
        report: as the bench wrote it; empty if the play failed.
        last_line: of what the bench printed.
    """

    __slots__ = ("arm", "day", "last_line", "report", "seed")

    def __init__(
        self, arm: str, day: str, seed: int, report: dict[str, Any], last_line: str
    ) -> None:
        self.arm = arm
        self.day = day
        self.seed = seed
        self.report = report
        self.last_line = last_line

    @property
    def worth(self) -> float:
        """What the day came to; not a number if it was not played."""
        return float(self.report.get("G", math.nan))

    def part(self, name: str) -> float:
        """Return one of ``PARTS``."""
        found = [part[2] for part in self.report.get("parts", []) if part[0] == name]
        return float(found[0]) if found else math.nan

    def class_worth(self) -> str:
        """Return the worth of each kind of request, for people."""
        classes = self.report.get("classes", [])
        return " ".join(f"{one['worth']:.2f}" for one in classes)


class Player:
    """Plays days through the bench.

    Args:
        bench: the program.
        site: the deployment's file.
        checkouts_by_arm: where each arm's code is.
        no_cpu: processor time is not charged.
        why: for the journal.
    """

    def __init__(
        self,
        bench: Path,
        site: Path,
        checkouts_by_arm: dict[str, Path],
        no_cpu: bool,
        why: str,
    ) -> None:
        self._bench = bench
        self._site = site
        self._checkouts_by_arm = checkouts_by_arm
        self._no_cpu = no_cpu
        self._why = why
        self._lock = threading.Lock()

    def play(self, arm: str, day: str, seed: int) -> Play:
        """Play one day on one arm."""
        with tempfile.TemporaryDirectory() as folder:
            report = Path(folder) / "report.json"
            command = [str(self._bench), "run", str(self._site), day]
            command += ["--seed", str(seed), "--report", str(report)]
            command += ["--why", f"{self._why} [arm {arm}, seed {seed}]"]
            if self._no_cpu:
                command.append("--no-cpu")
            done = subprocess.run(
                command,
                cwd=self._checkouts_by_arm[arm],
                capture_output=True,
                text=True,
                check=False,
            )
            lines = (done.stdout + done.stderr).splitlines()
            fields = json.loads(report.read_text()) if report.exists() else {}
        play = Play(arm, day, seed, fields, lines[-1] if lines else "")
        with self._lock:
            print(_line(play), flush=True)
        return play


def _line(play: Play) -> str:
    if not play.report:
        return f"{play.day} {play.seed} {play.arm}: not played: {play.last_line}"
    parts = " ".join(f"{play.part(name):.3f}" for name in PARTS)
    broken = play.report.get("breaks") or ""
    short = play.report.get("short") or ""
    fault = play.report.get("fault") or ""
    refused = play.report.get("refused", 0.0)
    return (
        f"{play.day} {play.seed} {play.arm}: {play.worth:.3f} = {parts} "
        f"classes {play.class_worth()} refused {refused:.3f} {broken}{short}{fault}"
    )


def _differences(plays: list[Play], base: str, arm: str, day: str) -> Iterator[float]:
    worth = {(play.arm, play.seed): play.worth for play in plays if play.day == day}
    for (name, seed), value in worth.items():
        difference = value - worth.get((base, seed), math.nan)
        if name == arm and not math.isnan(difference):
            yield difference


def _spread(values: list[float]) -> str:
    """Return mean and standard error.

    >>> _spread([0.1, 0.2, 0.3])
    '+0.200 ± 0.058 (3 seeds)'
    """
    if not values:
        return "nothing to compare"
    error = 0.0
    if len(values) > 1:
        error = statistics.stdev(values) / math.sqrt(len(values))
    return f"{statistics.mean(values):+.3f} ± {error:.3f} ({len(values)} seeds)"


def _print_summary(plays: list[Play], arms: list[str], days: list[str]) -> None:
    base, *others = arms
    for day in days:
        for arm in arms:
            mine = [play for play in plays if play.day == day and play.arm == arm]
            worth = statistics.mean(play.worth for play in mine)
            parts = " ".join(
                f"{statistics.mean(play.part(name) for play in mine):.3f}"
                for name in PARTS
            )
            print(f"{day} {arm}: mean {worth:.3f} = {parts}")
        for arm in others:
            found = list(_differences(plays, base, arm, day))
            print(f"{day} {arm} against {base}: {_spread(found)}")
    for arm in others:
        found = [one for day in days for one in _differences(plays, base, arm, day)]
        print(f"all days, {arm} against {base}: {_spread(found)}")


def main(
    bench: Path,
    site: Path,
    arm: Annotated[
        list[str], typer.Option(help="NAME=CHECKOUT; the first is the base")
    ],
    day: Annotated[list[str], typer.Option(help="a day's name, or a file")],
    seeds: Annotated[int, typer.Option(help="how many")] = 8,
    first: Annotated[int, typer.Option(help="the first seed")] = 1,
    jobs: Annotated[int, typer.Option(help="plays at a time")] = JOBS,
    no_cpu: Annotated[bool, typer.Option(help="charge no processor time")] = False,
    why: Annotated[str, typer.Option(help="for the journal")] = "paired seeds",
) -> None:
    """Play the days with the seeds on each arm; print worth, parts and differences."""
    checkouts_by_arm = {
        name: Path(folder).resolve()
        for name, _, folder in (one.partition("=") for one in arm)
    }
    player = Player(bench.resolve(), site.resolve(), checkouts_by_arm, no_cpu, why)
    wanted = [
        (name, one, number)
        for one in day
        for number in range(first, first + seeds)
        for name in checkouts_by_arm
    ]
    with ThreadPoolExecutor(jobs) as pool:
        plays = list(pool.map(lambda args: player.play(*args), wanted))
    _print_summary(plays, list(checkouts_by_arm), day)


if __name__ == "__main__":
    typer.run(main)
