"""One soak: real processes, faults and callers, and what was broken.

By hand, from the folder ``tests``:

    ../.venv/bin/python -m soak.soak --seeds 50 --first 1000 --seconds 12
"""

import asyncio
import logging
import random
import shutil
import tempfile
from pathlib import Path

import typer

from soak.callers import Callers, Tally
from soak.faults import inject
from soak.town import Town

SETTLE_S = 20.0


def check_runs(town: Town, tally: Tally) -> None:
    """Check what the runners saw against what callers sent and were told."""
    runs: dict[str, int] = {}
    for runner in town.runners:
        for run in runner.runs:
            runs[run.id] = runs.get(run.id, 0) + 1
            if run.id not in tally.sent:
                tally.broken.append(f"{run.id} ran and nobody sent it")
            if run.path.startswith("/once/") and runs[run.id] > 1:
                tally.broken.append(f"request {run.id} ran {runs[run.id]} times")
    for id in sorted(tally.refused & set(runs)):
        tally.broken.append(f"request {id} was said not to run, and ran")


async def soak(
    seed: int, seconds: float, folder: Path, instances: int = 4
) -> tuple[Tally, list[str]]:
    """Run one soak; return what callers saw and which faults came."""
    chance = random.Random(seed)
    town = Town(folder, instances, runners=3)
    tally = Tally()
    await town.start()
    callers = Callers(town, tally, random.Random(seed + 1))
    try:
        await asyncio.sleep(1.5)
        _, faults = await asyncio.gather(
            callers.use(seconds), inject(town, chance, seconds)
        )
        town.store.lose_answers = 0
        await callers.finish(SETTLE_S)
        check_runs(town, tally)
    finally:
        await callers.close()
        await town.stop()
    return tally, faults


def main(
    seeds: int = 10,
    first: int = 1,
    seconds: float = 12.0,
    keep: Path = Path("out/soak"),
) -> None:
    """Run many seeds; keep the logs of those that failed."""
    # The stand-ins' library logs each connection that a fault ended.
    logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        tally, faults = asyncio.run(soak(seed, seconds, folder))
        word = "broken" if tally.broken else "kept"
        typer.echo(
            f"seed {seed}: {word}; {tally.answered} of {tally.asked} answered, "
            f"{len(tally.accepted)} jobs, {len(faults)} faults"
        )
        if tally.broken:
            failed += 1
            kept = keep / str(seed)
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            lines = [*tally.broken, "faults:", *faults]
            (kept / "broken.txt").write_text("\n".join(lines))
            typer.echo("\n".join(f"  {what}" for what in tally.broken[:8]))
        shutil.rmtree(folder, ignore_errors=True)
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
