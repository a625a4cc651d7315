"""Keeps requests that end targets from the targets that are left.

Knows requests by what they ask for, whatever their ids and wherever they came. What one
instance sees is told to all at once; whoever has just started or was cut off is told on
connecting, and the store keeps it when nobody is left.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from caperridge.decisions.quarantine import SETTLE_S, Quarantine
from caperridge.decisions.suspects import GOOD_RUN_TTL_S, Crash, Hold, LostRun, Suspect
from caperridge.elapsed import elapsed_s
from caperridge.gateway.fingerprint import Fingerprint
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.held_rows import MIN_STORED_CRASHES, QuarantineTable
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import SoundRuns, Suspects, TargetEnded
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.rows import StoredRow
from caperridge.gateway.target_ends import CrashDetector
from caperridge.gateway.targets import Target
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# About 200 bytes each.
MAX_GOOD_RUNS = 1000
# Bounds the first message to a peer; quarantined requests come first.
MAX_GOSSIP_ENTRIES = 100
# In a large fleet the witnesses of a good run report it at random moments, so that one
# report silences the others; all come before the request is judged.
EXONERATE_WITHIN_S = 0.8 * SETTLE_S
SWEEP_S = 30.0
# Longest wait for word of who is to blame, before a request that was lost with several
# targets is sent to one more.
MAX_SETTLE_S = 0.3
MIN_RETRY_AFTER_S = 0.5
# Of the ends under a request so many are told in a line of the log.
MAX_LOGGED_ENDS = 4


class QuarantineRefusal(Record):
    """A request that is not sent to a target now.

    Attributes:
        reason: a sentence for a person.
        retry_after_s: until it may be tried again.
    """

    __slots__ = ("reason", "retry_after_s")

    def __init__(self, reason: str, retry_after_s: float) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s


class RequestGuard:
    """Says which requests may be sent; one for an instance.

    Attributes:
        quarantine: what is known of requests.
        rows: what the store keeps of it.
        quarantined: called with the content of a request that is newly in quarantine.

    Args:
        quarantine: filled and asked.
        ends: tells of targets that ended.
        rows: what the store keeps.
        mesh: of peers.
        fleet: leaves targets alone that ended.
        metrics: counted into.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        ends: CrashDetector,
        rows: QuarantineTable,
        mesh: Mesh,
        fleet: Fleet,
        metrics: GatewayMetrics,
    ) -> None:
        self.rows = rows
        self.quarantine = quarantine
        self.on_quarantined: Callable[[str], None] = lambda content: None
        self._ends = ends
        self._mesh = mesh
        self._fleet = fleet
        self._metrics = metrics
        self._sound_at: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._judge_timer: asyncio.TimerHandle | None = None
        self._claiming: set[str] = set()
        ends.on_crash = self._target_ended
        mesh.register(TargetEnded, self._peer_lost_runs)
        mesh.register(SoundRuns, self._peer_ran_well)
        mesh.register(Suspects, self._peer_suspects)
        mesh.send_on_connect(self._first_word)

    # Asked before a request is sent.

    @property
    def has_suspects(self) -> bool:
        """Whether anything is held against any request."""
        return bool(self.quarantine.by_content)

    @property
    def checking_crashes(self) -> bool:
        """Whether it is not known yet whether some target ended."""
        return self._ends.checking

    def is_quarantined(self, mark: Fingerprint) -> bool:
        """Whether a request is in quarantine and not to be tried again yet."""
        hold = self.quarantine.hold_for(mark.content, mark.caller)
        return hold is not None and not hold.is_due(elapsed_s())

    async def admit(self, mark: Fingerprint, request: str) -> QuarantineRefusal | None:
        """Return why a request may not be sent; None if it may.

        Args:
            mark: what it asks for.
            request: its id, for the log.
        """
        self._judge()
        hold = self.quarantine.hold_for(mark.content, mark.caller)
        if hold is None:
            return None
        suspect = self.quarantine.by_content[mark.content]
        if hold.is_due(elapsed_s()) and await self._claim(suspect):
            self._metrics.held_requests.labels("tried_again").inc()
            log.warning("request tried again", request=request, **_told(suspect))
            return None
        self._metrics.held_requests.labels("refused").inc()
        log.info("request held back", request=request, **_told(suspect))
        now = elapsed_s()
        left_s = (suspect.hold or hold).next_due(now) - now
        return QuarantineRefusal(
            f"{len(suspect.crashes)} targets ended while they ran it",
            max(MIN_RETRY_AFTER_S, left_s),
        )

    async def wait_until_judged(self) -> None:
        """Wait until it is known who is to blame for what was lost by now."""
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_SETTLE_S
        while loop.time() < until:
            if not self._ends.checking and self._judge_timer is None:
                return
            await asyncio.sleep(SETTLE_S / 5)

    # Told of runs.

    def record_lost_run(
        self, target: Target, mark: Fingerprint, age_s: float, events: int
    ) -> None:
        """Note a run whose answer broke off at ``target``."""
        run = LostRun(mark.content, mark.caller, round(age_s, 3), events)
        self._ends.record_lost_run(target, run)

    def record_cancelled_run(
        self, target: Target, mark: Fingerprint, age_s: float
    ) -> None:
        """Note a run that was ended here before it had made an event at ``target``."""
        run = LostRun(mark.content, mark.caller, round(age_s, 3), events=0)
        self._ends.record_cancelled_run(target, run)

    def record_good_run(self, mark: Fingerprint) -> None:
        """Note that a run ended no target."""
        now = elapsed_s()
        key = mark.content, mark.caller
        self._sound_at.pop(key, None)
        self._sound_at[key] = now
        if len(self._sound_at) > MAX_GOOD_RUNS:
            self._sound_at.popitem(last=False)
        if self.quarantine.record_good_run(mark.content, mark.caller, now, now):
            self._cleared(mark.content, self._mesh.instance)
            self._mesh.send_all(SoundRuns([[mark.content, mark.caller, 0.0]]))

    # Told by peers and by the store.

    def take_rows(self, rows: list[StoredRow], source: str) -> None:
        """Take rows of held requests that were news."""
        if self.rows.apply_rows(rows, source):
            self._judge_soon()
            self._count()

    def _target_ended(self, target: Target, runs: list[LostRun]) -> None:
        log.warning(
            "target ended under requests",
            target=target.id,
            runs=[[run.content, run.caller, run.age_s, run.events] for run in runs],
        )
        self._metrics.target_ends.inc()
        told = [[run.content, run.caller, run.age_s, run.events] for run in runs]
        self._mesh.send_all(TargetEnded(target.id, told))
        self._take_end(target.id, runs, self._mesh.instance)

    def _peer_lost_runs(self, peer: str, news: TargetEnded) -> None:
        runs = [LostRun(*run) for run in news.runs]
        listed = self._fleet.targets.by_id.get(news.target)
        if listed is not None:
            self._fleet.mark_crashed(listed)
        self._take_end(news.target, runs, peer)

    def _take_end(self, target: str, runs: list[LostRun], reported_by: str) -> None:
        news = self.quarantine.record_crash(target, runs, elapsed_s(), reported_by)
        for content in news:
            suspect = self.quarantine.by_content.get(content)
            own = reported_by == self._mesh.instance
            if (
                own
                and suspect is not None
                and len(suspect.crashes) >= MIN_STORED_CRASHES
            ):
                self.rows.schedule_write(content)
        if news:
            self._judge_soon()
        self._say_what_ran_well(runs)

    def _say_what_ran_well(self, runs: list[LostRun]) -> None:
        """Exonerate requests that ended well here a short while ago."""
        sound = [run for run in runs if self._is_sound(run)]
        if sound and self._mesh.large:
            delay_s = EXONERATE_WITHIN_S * self._fleet.rng.random()
            asyncio.get_running_loop().call_later(delay_s, self._exonerate, sound)
        elif sound:
            self._exonerate(sound)

    def _is_sound(self, run: LostRun) -> bool:
        """Whether it ended well here a short while ago, and nobody said so."""
        at = self._sound_at.get((run.content, run.caller))
        suspect = self.quarantine.by_content.get(run.content)
        if at is None or suspect is None:
            return False
        now = elapsed_s()
        said_s = now - suspect.last_good_run_at_for(run.caller)
        return now - at < GOOD_RUN_TTL_S and said_s > GOOD_RUN_TTL_S / 2

    def _exonerate(self, runs: list[LostRun]) -> None:
        now = elapsed_s()
        told: list[list[Any]] = []
        for run in runs:
            if not self._is_sound(run):
                continue
            at = self._sound_at[run.content, run.caller]
            self.quarantine.record_good_run(run.content, run.caller, at, now)
            told.append([run.content, run.caller, round(now - at, 3)])
        if told:
            self._mesh.send_all(SoundRuns(told))

    def _peer_ran_well(self, peer: str, news: SoundRuns) -> None:
        now = elapsed_s()
        for content, caller, ago_s in news.runs:
            if self.quarantine.record_good_run(content, caller, now - ago_s, now):
                self._cleared(content, peer)

    def _cleared(self, content: str, reported_by: str) -> None:
        """Note a good run of a suspect."""
        suspect = self.quarantine.by_content[content]
        log.info("suspect ran well", reported_by=reported_by, **_told(suspect))
        self.rows.schedule_write(content)
        self._count()

    # Judging.

    def _judge_soon(self) -> None:
        if self._judge_timer is None:
            loop = asyncio.get_running_loop()
            self._judge_timer = loop.call_later(SETTLE_S, self._judge_now)

    def _judge_now(self) -> None:
        self._judge_timer = None
        self._judge()
        if self.quarantine.evaluation_pending:
            self._judge_soon()

    def _judge(self) -> None:
        for suspect in self.quarantine.evaluate(elapsed_s()):
            log.warning("request put in quarantine", **_told(suspect))
            self.rows.schedule_write(suspect.content)
            self._count()
            self.on_quarantined(suspect.content)

    def _count(self) -> None:
        self._metrics.quarantine.set(len(self.quarantine.quarantined()))

    # Telling who knows nothing.

    def _first_word(self) -> Suspects:
        now = elapsed_s()
        suspects = sorted(self.quarantine.by_content.values(), key=_held_first)
        return Suspects([_as_told(one, now) for one in suspects[:MAX_GOSSIP_ENTRIES]])

    def _peer_suspects(self, peer: str, news: Suspects) -> None:
        now = elapsed_s()
        for content, ends, hold in news.suspects:
            taken = [
                Crash(target, caller, age_s, events, now - ago_s, by)
                for target, caller, age_s, events, ago_s, by in ends
            ]
            held = None
            if hold:
                callers, since_s, trials, trial_in_s = hold
                since, trial_at = now - since_s, now + trial_in_s
                held = Hold(frozenset(callers), since, trials, trial_at)
            if not self.quarantine.merge(content, taken, held):
                continue
            told = _told(self.quarantine.by_content[content])
            log.info("suspect taken", reported_by=peer, **told)
            self._judge_soon()
            self._count()

    # Claims, and what is long ago.

    async def _claim(self, suspect: Suspect) -> bool:
        """Take the right to try a request again, against all others who ask for it."""
        if suspect.content in self._claiming:
            return False
        self._claiming.add(suspect.content)
        try:
            return await self.rows.claim_trial(suspect)
        finally:
            self._claiming.discard(suspect.content)

    async def run(self) -> None:
        """Forget what is long ago until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.quarantine.expire(elapsed_s())
            self.rows.remove_expired()
            self._count()

    def state(self) -> list[dict[str, Any]]:
        """Return what is in quarantine, for people."""
        return [_told(suspect) for suspect in self.quarantine.quarantined()]


def _held_first(suspect: Suspect) -> bool:
    return suspect.hold is None


def _told(suspect: Suspect) -> dict[str, Any]:
    """Return what is known of a suspect, for a line of the log."""
    now = elapsed_s()
    hold = suspect.hold
    return {
        "content": suspect.content,
        "ends": [
            {
                "target": end.target,
                "caller": end.caller,
                "age_s": round(now - end.at, 3),
                "reported_by": end.reported_by,
            }
            for end in suspect.crashes[-MAX_LOGGED_ENDS:]
        ],
        "ends_known": len(suspect.crashes),
        "callers": sorted(hold.callers) if hold is not None else None,
        "held_s": round(now - hold.since, 3) if hold is not None else None,
        "trials": hold.trials if hold is not None else 0,
        "trial_in_s": round(hold.next_due(now) - now, 3) if hold is not None else None,
    }


def _as_told(suspect: Suspect, now: float) -> list[Any]:
    """Return what a peer is told of a suspect."""
    hold = suspect.hold
    ends = [
        [e.target, e.caller, e.age_s, e.events, round(now - e.at, 3), e.reported_by]
        for e in suspect.crashes
    ]
    if hold is None:
        return [suspect.content, ends, []]
    callers = sorted(hold.callers)
    return [
        suspect.content,
        ends,
        [callers, now - hold.since, hold.trials, hold.trial_at - now],
    ]
