"""Quarantine of poison requests, which crash the targets that run them.

Requests are identified by their fingerprint, whatever their ids and whichever instance
receives them. A request is a suspect by its content and by each part of its prompt that
others may share. Crashes and good runs are announced to all instances at once; peers
that connect receive what is known then, and the store keeps it if all instances stop.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Any

from caperridge.decisions.quarantine import SETTLE_S, Quarantine
from caperridge.decisions.suspect_keys import is_part
from caperridge.decisions.suspects import (
    MAX_EVENTS_BEFORE_CRASH,
    Hold,
    LostRun,
    Suspect,
)
from caperridge.elapsed import elapsed_s
from caperridge.gateway.exoneration import Exoneration
from caperridge.gateway.fingerprint import Fingerprint
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.held_rows import QuarantineTable
from caperridge.gateway.interrupted_trials import InterruptedTrials
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import Suspects, TargetEnded
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.rows import StoredRow
from caperridge.gateway.suspect_reports import decode, encode, log_fields
from caperridge.gateway.suspect_writes import SuspectWrites
from caperridge.gateway.target_ends import CrashDetector
from caperridge.gateway.targets import Target
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# Bounds the first message to a peer, which lists quarantined requests first.
MAX_GOSSIP_ENTRIES = 100
SWEEP_INTERVAL_S = 30.0
# Longest wait until the crashes are evaluated, before a request that was lost with
# several targets is sent to one more.
MAX_EVALUATION_WAIT_S = 0.5
# Between two evaluations, which go through all suspects.
MIN_EVALUATION_INTERVAL_S = 0.01
MIN_RETRY_AFTER_S = 0.5


class QuarantineRefusal(Record):
    """Why a quarantined request is not sent to a target now.

    Attributes:
        reason: for the caller and the log.
        retry_after_s: delay until it may be sent again.
    """

    __slots__ = ("reason", "retry_after_s")

    def __init__(self, reason: str, retry_after_s: float) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s


class RequestGuard:
    """Decides which requests may be sent to targets; an instance has one.

    Attributes:
        quarantine: suspected and quarantined requests.
        rows: their rows in the store.

    Args:
        quarantine: suspected and quarantined requests.
        detector: reports crashed targets and the runs lost there.
        rows: their rows in the store.
        mesh: sends and receives reports.
        fleet: stops using crashed targets.
        metrics: counted into.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        detector: CrashDetector,
        rows: QuarantineTable,
        mesh: Mesh,
        fleet: Fleet,
        metrics: GatewayMetrics,
    ) -> None:
        self.rows = rows
        self.quarantine = quarantine
        self._quarantined_callbacks: list[Callable[[str], None]] = []
        self._detector = detector
        self._mesh = mesh
        self._fleet = fleet
        self._metrics = metrics
        self._exoneration = Exoneration(quarantine, mesh, fleet)
        self._exoneration.on_good_run = self._after_good_run
        self._evaluation_timer: asyncio.TimerHandle | None = None
        self._evaluated_at = -math.inf
        self._claiming: set[str] = set()
        self._trials = InterruptedTrials(quarantine, rows)
        self._writes = SuspectWrites(quarantine, rows, mesh, fleet)
        detector.on_crash = self._on_target_crash
        mesh.register(TargetEnded, self._receive_crash)
        mesh.register(Suspects, self._receive_suspects)
        mesh.send_on_connect(self._suspects_message)

    def on_quarantined(self, call: Callable[[str], None]) -> None:
        """Call ``call`` with the key of each suspect that is put in quarantine."""
        self._quarantined_callbacks.append(call)

    # Before a request is sent.

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected or in quarantine."""
        return bool(self.quarantine.by_content)

    @property
    def checking_crashes(self) -> bool:
        """Whether some target is still being checked for a crash."""
        return self._detector.checking

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Whether a request is in quarantine and its next trial is not due yet."""
        now = elapsed_s()
        return any(not hold.is_due(now) for _, hold in self._holds(fingerprint))

    def _holds(self, fingerprint: Fingerprint) -> list[tuple[Suspect, Hold]]:
        """Return the quarantines that cover a request, by suspect."""
        found: list[tuple[Suspect, Hold]] = []
        for key in (fingerprint.content, *fingerprint.parts):
            hold = self.quarantine.hold_for(key, fingerprint.caller)
            if hold is not None:
                found.append((self.quarantine.by_content[key], hold))
        return found

    def is_near_threshold(self, fingerprint: Fingerprint) -> bool:
        """Whether one more crash may quarantine a part of the prompt of a request."""
        now = elapsed_s()
        suspects = [self.quarantine.by_content.get(key) for key in fingerprint.parts]
        return any(one is not None and one.is_near_threshold(now) for one in suspects)

    async def admit(
        self, fingerprint: Fingerprint, request: str
    ) -> QuarantineRefusal | None:
        """Return why a request may not be sent; None if it may.

        Args:
            fingerprint: of the request.
            request: its id, for the log.
        """
        self._evaluate()
        holds = self._holds(fingerprint)
        if not holds:
            return None
        now = elapsed_s()
        suspect, hold = max(holds, key=lambda one: one[1].next_due(now))
        if self._may_try(holds, now):
            # A crash would say nothing about the wider ones; their trials are left to
            # requests that are held for nothing else.
            suspect, hold = min(holds, key=_width)
            if await self._claim_trial(suspect):
                self._trials.begin(request, suspect)
                self._metrics.held_requests.labels("tried_again").inc()
                log.warning(
                    "trial of quarantined request",
                    request=request,
                    **log_fields(suspect),
                )
                return None
        self._metrics.held_requests.labels("refused").inc()
        log.info("quarantined request refused", request=request, **log_fields(suspect))
        now = elapsed_s()
        remaining_s = (suspect.hold or hold).next_due(now) - now
        return QuarantineRefusal(
            _refusal_reason(suspect), max(MIN_RETRY_AFTER_S, remaining_s)
        )

    def _may_try(self, holds: list[tuple[Suspect, Hold]], now: float) -> bool:
        """Whether the trials of all that hold a request are due, or claimed here."""
        narrowest, _ = min(holds, key=_width)
        return all(
            hold.is_due(now)
            or (suspect is narrowest and self.rows.has_open_claim(suspect))
            for suspect, hold in holds
        )

    async def wait_until_evaluated(self) -> None:
        """Wait until all crashes so far have been evaluated, or for a short time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_EVALUATION_WAIT_S
        while loop.time() < until:
            if not self._detector.checking and self._evaluation_timer is None:
                return
            await asyncio.sleep(SETTLE_S / 5)

    # Outcomes of runs.

    def run_concluded(self, request: str) -> None:
        """Record a run of ``request`` that says something about it."""
        self._trials.conclude(request)

    def run_interrupted(self, request: str) -> None:
        """Record a run that ended without an outcome; see :class:`InterruptedTrials`.

        Args:
            request: its id.
        """
        self._trials.interrupt(request)

    def record_lost_run(
        self, target: Target, fingerprint: Fingerprint, age_s: float, events: int
    ) -> None:
        """Record a run whose answer was broken off by ``target``."""
        if events > MAX_EVENTS_BEFORE_CRASH:
            self._exoneration.record_writing_run(fingerprint, age_s)
        self._detector.record_lost_run(target, _suspects(fingerprint, age_s, events))

    def record_cancelled_run(
        self, target: Target, fingerprint: Fingerprint, age_s: float
    ) -> None:
        """Record a run at ``target`` that was cancelled here before its first event."""
        self._detector.record_cancelled_run(
            target, _suspects(fingerprint, age_s, events=0)
        )

    def record_good_run(
        self, fingerprint: Fingerprint, age_s: float, wrote: bool = True
    ) -> None:
        """Record a run that began ``age_s`` ago and did not crash its target.

        Args:
            fingerprint: of the request.
            age_s: seconds since it was sent to the target.
            wrote: whether the target wrote an answer of its model; an error says
                nothing about the parts of the prompt.
        """
        self._exoneration.record_good_run(fingerprint, age_s, wrote)

    # Reports of peers and rows of the store.

    def apply_rows(self, rows: list[StoredRow], source: str) -> None:
        """Apply changed rows of the quarantine table."""
        if self.rows.apply_rows(rows, source):
            self._schedule_evaluation()
            self._update_gauge()

    def _on_target_crash(self, target: Target, runs: list[LostRun]) -> None:
        log.warning(
            "target ended under requests",
            target=target.id,
            runs=[[run.content, run.caller, run.age_s, run.events] for run in runs],
        )
        self._metrics.target_ends.inc()
        contents: list[list[Any]] = []
        parts: list[list[Any]] = []
        for run in runs:
            reported = parts if is_part(run.content) else contents
            reported.append([run.content, run.caller, run.age_s, run.events])
        self._mesh.send_all(TargetEnded(target.id, contents, parts))
        self._record_crash(target.id, runs, self._mesh.instance)

    def _receive_crash(self, peer: str, report: TargetEnded) -> None:
        runs = [LostRun(*run) for run in report.parts + report.runs]
        listed = self._fleet.targets.by_id.get(report.target)
        if listed is not None:
            self._fleet.mark_crashed(listed)
        self._record_crash(report.target, runs, peer)

    def _record_crash(self, target: str, runs: list[LostRun], reported_by: str) -> None:
        new_contents = self.quarantine.record_crash(
            target, runs, elapsed_s(), reported_by
        )
        if reported_by == self._mesh.instance:
            self._writes.crash_reported_here(new_contents)
        if new_contents:
            self._schedule_evaluation()
        self._exoneration.check_suspects(runs)

    def _after_good_run(self, content: str, reported_by: str) -> None:
        """Log and store that a suspect ran well."""
        suspect = self.quarantine.by_content[content]
        log.info("suspect ran well", reported_by=reported_by, **log_fields(suspect))
        self._writes.ran_well(content, reported_by)
        self._update_gauge()

    # Evaluation of suspects.

    def _schedule_evaluation(self) -> None:
        if self._evaluation_timer is None:
            loop = asyncio.get_running_loop()
            self._evaluation_timer = loop.call_later(SETTLE_S, self._run_evaluation)

    def _run_evaluation(self) -> None:
        self._evaluation_timer = None
        self._evaluate()
        if self.quarantine.evaluation_pending:
            self._schedule_evaluation()
            return
        self._writes.settled()

    def _evaluate(self) -> None:
        now = elapsed_s()
        if now - self._evaluated_at < MIN_EVALUATION_INTERVAL_S:
            return
        self._evaluated_at = now
        for suspect in self.quarantine.evaluate(now):
            log.warning("request put in quarantine", **log_fields(suspect))
            self._writes.quarantined(suspect)
            self._update_gauge()
            for call in self._quarantined_callbacks:
                call(suspect.content)

    def _update_gauge(self) -> None:
        self._metrics.quarantine.set(len(self.quarantine.quarantined()))

    # The first message between peers.

    def _suspects_message(self) -> Suspects:
        now = elapsed_s()
        suspects = sorted(self.quarantine.by_content.values(), key=_is_not_quarantined)
        contents: list[list[Any]] = []
        parts: list[list[Any]] = []
        for suspect in suspects[:MAX_GOSSIP_ENTRIES]:
            (parts if suspect.is_part else contents).append(encode(suspect, now))
        return Suspects(contents, parts)

    def _receive_suspects(self, peer: str, report: Suspects) -> None:
        now = elapsed_s()
        for entry in report.parts + report.suspects:
            content, crashes, hold = decode(entry, now)
            if not self.quarantine.merge(content, crashes, hold):
                continue
            fields = log_fields(self.quarantine.by_content[content])
            log.info("suspect reported", reported_by=peer, **fields)
            self._schedule_evaluation()
            self._update_gauge()

    # Trials and expiry.

    async def _claim_trial(self, suspect: Suspect) -> bool:
        """Claim the next trial of a request; only one instance gets it."""
        if suspect.content in self._claiming:
            return False
        self._claiming.add(suspect.content)
        try:
            return await self.rows.claim_trial(suspect)
        finally:
            self._claiming.discard(suspect.content)

    async def run(self) -> None:
        """Expire old entries periodically until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.quarantine.expire(elapsed_s())
            self.rows.remove_expired()
            self._update_gauge()

    def state(self) -> list[dict[str, Any]]:
        """Return the quarantined requests, for the state dump."""
        return [log_fields(suspect) for suspect in self.quarantine.quarantined()]


def _suspects(fingerprint: Fingerprint, age_s: float, events: int) -> list[LostRun]:
    """Return a lost run once for each key by which it is suspected."""
    age_s = round(age_s, 3)
    parts = [
        LostRun(part, fingerprint.content, age_s, events) for part in fingerprint.parts
    ]
    return [*parts, LostRun(fingerprint.content, fingerprint.caller, age_s, events)]


def _refusal_reason(suspect: Suspect) -> str:
    ran = "requests with a part of its prompt" if suspect.is_part else "it"
    return f"{len(suspect.crashes)} targets ended while they ran {ran}"


def _width(held: tuple[Suspect, Hold]) -> tuple[bool, int]:
    suspect, _ = held
    return suspect.width


def _is_not_quarantined(suspect: Suspect) -> bool:
    return suspect.hold is None
