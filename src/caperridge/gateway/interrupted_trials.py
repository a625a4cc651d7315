"""Trials of quarantined requests that ended early without an outcome.

A trial may end before its target has answered: the caller leaves, the time of the
request is over, the instance stops. That says nothing about the request, so the trial
is given back instead of counting as used up.
"""

import asyncio

from caperridge.decisions.quarantine import Quarantine
from caperridge.decisions.suspects import SAME_CRASH_WINDOW_S, Hold, Suspect
from caperridge.elapsed import elapsed_s
from caperridge.gateway.held_rows import QuarantineTable
from caperridge.gateway.suspect_reports import log_fields
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# A request may crash its target some moments after its run was ended.
SURVIVAL_S = SAME_CRASH_WINDOW_S


class Trial(Record):
    """A trial that runs here.

    Attributes:
        content: key of the suspect.
        hold: of the suspect when the trial was claimed.
        began_at: when the trial was claimed.
    """

    __slots__ = ("began_at", "content", "hold")

    def __init__(self, content: str, hold: Hold, began_at: float) -> None:
        self.content = content
        self.hold = hold
        self.began_at = began_at


class InterruptedTrials:
    """Gives interrupted trials back; an instance has one.

    Args:
        quarantine: the suspects.
        rows: their rows in the store.
    """

    def __init__(self, quarantine: Quarantine, rows: QuarantineTable) -> None:
        self._quarantine = quarantine
        self._rows = rows
        self._trials_by_request: dict[str, Trial] = {}

    def begin(self, request: str, suspect: Suspect) -> None:
        """Record that a request is a trial of ``suspect``."""
        if suspect.hold is None:
            return
        trial = Trial(suspect.content, suspect.hold, elapsed_s())
        self._trials_by_request[request] = trial

    def conclude(self, request: str) -> None:
        """Record the outcome of a request that may be a trial."""
        self._trials_by_request.pop(request, None)

    def interrupt(self, request: str) -> None:
        """Record that a request, which may be a trial, ended without an outcome.

        A trial is given back once it is clear that its target survives.
        """
        trial = self._trials_by_request.pop(request, None)
        if trial is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(SURVIVAL_S, self._give_back, request, trial)

    def _give_back(self, request: str, trial: Trial) -> None:
        """Give a trial back unless its target crashed, or the hold has changed."""
        suspect = self._quarantine.by_content.get(trial.content)
        if suspect is None or suspect.hold is not trial.hold:
            return
        if any(crash.at >= trial.began_at for crash in suspect.crashes):
            return
        suspect.hold = trial.hold.with_trial_given_back(elapsed_s())
        log.info("trial given back", request=request, **log_fields(suspect))
        self._rows.schedule_write(suspect.content)
