"""Exoneration of suspects: requests and prompt parts that recently ran well.

Each instance remembers the good runs it has seen. When a target crashes, the instances
that know a good run of a suspect announce it, so that all evaluate the crash alike.
"""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from caperridge.decisions.quarantine import SETTLE_S, Quarantine
from caperridge.decisions.suspects import GOOD_RUN_TTL_S, LostRun, Suspect
from caperridge.elapsed import elapsed_s
from caperridge.gateway.fingerprint import Fingerprint
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import SoundRuns

# About 200 bytes each.
MAX_GOOD_RUNS = 1000
MAX_GOOD_PARTS = 4000
# In a large fleet the instances that know of a good run announce it after a random
# delay, so that the first announcement suppresses the others; all arrive before the
# request is evaluated.
MAX_EXONERATION_DELAY_S = 0.8 * SETTLE_S
MAX_GOOD_RUN_AGE_S = GOOD_RUN_TTL_S / 2
# A good run of a part is one of any caller.
ANY_CALLER = ""


class Exoneration:
    """Remembers good runs and announces those of suspects; an instance has one.

    Attributes:
        on_good_run: called with the key of a suspect that ran well, and the instance
            that reported it.

    Args:
        quarantine: suspected and quarantined requests.
        mesh: sends and receives good runs.
        fleet: whose source of randomness is used.
    """

    def __init__(self, quarantine: Quarantine, mesh: Mesh, fleet: Fleet) -> None:
        self.on_good_run: Callable[[str, str], None] = lambda key, instance: None
        self._quarantine = quarantine
        self._mesh = mesh
        self._fleet = fleet
        # Oldest first.
        self._good_run_at: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._good_run_at_by_part: OrderedDict[str, float] = OrderedDict()
        mesh.register(SoundRuns, self._receive)

    def record_good_run(
        self, fingerprint: Fingerprint, age_s: float, wrote: bool
    ) -> None:
        """Record a run that began here ``age_s`` ago and did not crash its target.

        Only one that ``wrote`` an answer says anything about the parts of its prompt.
        """
        now = elapsed_s()
        key = fingerprint.content, fingerprint.caller
        _record(self._good_run_at, key, now, MAX_GOOD_RUNS)
        reported: list[list[Any]] = []
        if self._quarantine.record_good_run(*key, now, now):
            reported.append([*key, 0.0])
        if wrote:
            reported += self._record_parts(fingerprint, age_s)
        self._report(reported)

    def record_writing_run(self, fingerprint: Fingerprint, age_s: float) -> None:
        """Record a lost run that had written enough to exonerate its prompt parts."""
        self._report(self._record_parts(fingerprint, age_s))

    def _record_parts(self, fingerprint: Fingerprint, age_s: float) -> list[list[Any]]:
        """Record a good run of all prompt parts; return what to announce.

        A part crashes targets as they begin to write, so a run says that its parts were
        sound when it began, whenever it ends; a long one still counts as recent.

        Nearly all requests have popular parts, so a good run of a part is announced,
        and counts, only where one more crash could put the part in quarantine.
        """
        now = elapsed_s()
        began_at = now - min(age_s, MAX_GOOD_RUN_AGE_S)
        reported: list[list[Any]] = []
        for part in fingerprint.parts:
            at = max(began_at, self._good_run_at_by_part.get(part, -math.inf))
            _record(self._good_run_at_by_part, part, at, MAX_GOOD_PARTS)
            suspect = self._quarantine.by_content.get(part)
            if suspect is None or at <= suspect.last_good_run_at:
                continue
            if not _needs_good_run(suspect, now):
                continue
            self._quarantine.record_good_run(part, ANY_CALLER, at, now)
            reported.append([part, ANY_CALLER, round(now - at, 3)])
        return reported

    def _report(self, good_runs: list[list[Any]]) -> None:
        """Announce good runs of suspects that this instance has just seen."""
        for suspect, _, _ in good_runs:
            self.on_good_run(suspect, self._mesh.instance)
        if good_runs:
            self._mesh.send_all(SoundRuns(good_runs))

    def check_suspects(self, runs: list[LostRun]) -> None:
        """Announce which of the runs lost in a crash ran well here before."""
        sound = [run for run in runs if self._last_good_run_at(run) is not None]
        if sound and self._mesh.large:
            delay_s = MAX_EXONERATION_DELAY_S * self._fleet.rng.random()
            asyncio.get_running_loop().call_later(delay_s, self._announce, sound)
        elif sound:
            self._announce(sound)

    def _last_good_run_at(self, run: LostRun) -> float | None:
        """Return when a suspect last ran well here; None if that says nothing new."""
        suspect = self._quarantine.by_content.get(run.content)
        if suspect is None:
            return None
        now = elapsed_s()
        if suspect.is_part:
            at = self._good_run_at_by_part.get(run.content)
            known = at is None or at <= suspect.last_good_run_at
            return None if known or not _needs_good_run(suspect, now) else at
        at = self._good_run_at.get((run.content, run.caller))
        if at is None or now - at >= GOOD_RUN_TTL_S:
            return None
        since_announced_s = now - suspect.last_good_run_at_for(run.caller)
        return at if since_announced_s > GOOD_RUN_TTL_S / 2 else None

    def _announce(self, runs: list[LostRun]) -> None:
        now = elapsed_s()
        reported: list[list[Any]] = []
        for run in runs:
            at = self._last_good_run_at(run)
            if at is None:
                continue
            suspect = self._quarantine.by_content[run.content]
            caller = ANY_CALLER if suspect.is_part else run.caller
            self._quarantine.record_good_run(run.content, caller, at, now)
            reported.append([run.content, caller, round(now - at, 3)])
        if reported:
            self._mesh.send_all(SoundRuns(reported))

    def _receive(self, peer: str, report: SoundRuns) -> None:
        now = elapsed_s()
        for content, caller, ago_s in report.runs:
            if self._quarantine.record_good_run(content, caller, now - ago_s, now):
                self.on_good_run(content, peer)


def _needs_good_run(suspect: Suspect, now: float) -> bool:
    return suspect.hold is not None or suspect.is_near_threshold(now)


def _record(
    good_run_at: OrderedDict[Any, float], key: Any, at: float, most: int
) -> None:
    """Record a good run as the newest one; forget the oldest above ``most``."""
    good_run_at[key] = at
    good_run_at.move_to_end(key)
    if len(good_run_at) > most:
        good_run_at.popitem(last=False)
