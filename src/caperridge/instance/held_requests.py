"""Keeps online requests that end engines from the engines that are left.

Known by model, path, body and caller, whatever their ids and wherever they came. What
one instance sees is passed on to all; it is kept in memory only, so that instances that
all start anew begin to learn anew.
"""

import asyncio
import hashlib
from collections.abc import Callable

import orjson

from caperridge.decisions.membership import Membership
from caperridge.decisions.quarantine import SETTLE_S, Quarantine
from caperridge.decisions.rendezvous import owner
from caperridge.decisions.suspects import GOOD_RUN_TTL_S, Hold, LostRun, Suspect
from caperridge.instance.metrics import Metrics
from caperridge.instance.online_request import OnlineRequest
from caperridge.log import logger
from caperridge.peers.held_messages import EndNews, SoundNews
from caperridge.peers.interface import Peers
from caperridge.refusals import NOT_RUN, Refusal, RefusedError
from caperridge.targets.listening import is_refused

log = logger(__name__)

CONTENT_BYTES = 12
# An engine that crashes closes its connections; its door is closed then or soon after.
LOOKS_AFTER_S = (0.0, 0.03, 0.2)
# Good runs that are remembered, some 200 bytes each.
MAX_GOOD_RUNS = 1000
CODE = "ends_targets"


class HeldRequests:
    """Says which online requests may be sent; one for an instance.

    Args:
        membership: says which instances live.
        peers: told of ends and of good runs.
        metrics: of the instance.
        clock: of the loop.
    """

    def __init__(
        self,
        membership: Membership,
        peers: Peers,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.quarantine = Quarantine()
        self._membership = membership
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._sound_at: dict[tuple[str, str], float] = {}
        self._looks: set[asyncio.Task[None]] = set()
        peers.register(EndNews, self._end_told)
        peers.register(SoundNews, self._sound_told)

    def check(self, request: OnlineRequest, run: str) -> None:
        """Let a request go on, or be tried again.

        Args:
            request: that is to be sent.
            run: whether it has run so far, for the refusal.

        Raises:
            RefusedError: engines ended under it.
        """
        if not self.quarantine.by_content:
            return
        self.judge()
        content = _content(request)
        hold = self.quarantine.hold_for(content, request.caller.name)
        if hold is None:
            return
        suspect = self.quarantine.by_content[content]
        now = self._clock()
        if hold.is_due(now) and self._tries(content):
            suspect.hold = hold.after_trial(now)
            log.warning("request tried again", request=request.id, content=content)
            return
        text = f"{len(suspect.crashes)} engines ended while they ran it"
        request.trace.add("refused", text, code=CODE, run=run, **_told(suspect, now))
        log.info(
            "request held back",
            request=request.id,
            content=content,
            **_told(suspect, now),
        )
        again_s = max(SETTLE_S, hold.next_due(now) - now)
        status = 503 if run == NOT_RUN else 502
        raise RefusedError(Refusal(CODE, text, status, run, again_s, request.id))

    def lost(
        self,
        request: OnlineRequest,
        target: str,
        address: str,
        age_s: float,
        events: int,
    ) -> None:
        """Note an answer that broke off, and find out whether its engine ended."""
        run = LostRun(_content(request), request.caller.name, round(age_s, 3), events)
        look = asyncio.get_running_loop().create_task(self._look(target, address, run))
        self._looks.add(look)
        look.add_done_callback(self._looks.discard)

    async def settle(self) -> None:
        """Wait until it is known who is to blame for what was lost by now."""
        if self._looks:
            await asyncio.wait(self._looks, timeout=sum(LOOKS_AFTER_S))
        if self.quarantine.evaluation_pending:
            await asyncio.sleep(SETTLE_S)

    def ran_well(self, request: OnlineRequest) -> None:
        """Note an answer that came whole."""
        now = self._clock()
        content, caller = _content(request), request.caller.name
        self._sound_at.pop((content, caller), None)
        self._sound_at[content, caller] = now
        if len(self._sound_at) > MAX_GOOD_RUNS:
            del self._sound_at[next(iter(self._sound_at))]
        if self.quarantine.record_good_run(content, caller, now, now):
            log.info("suspect ran well", content=content, request=request.id)
            self._say_sound(content, caller, 0.0)

    def state(self) -> dict[str, dict[str, object]]:
        """Return what is held, for the dump."""
        now = self._clock()
        return {
            suspect.content: _told(suspect, now)
            for suspect in self.quarantine.quarantined()
        }

    async def close(self) -> None:
        """End all looks."""
        for look in list(self._looks):
            look.cancel()
        await asyncio.gather(*self._looks, return_exceptions=True)

    def _tries(self, content: str) -> bool:
        """Whether this instance is the one that tries a request again."""
        live = [
            instance
            for zone in self._membership.live_by_zone().values()
            for instance in zone
        ]
        own = self._membership.instance
        return owner(content, [*live, own]) == own

    async def _look(self, target: str, address: str, run: LostRun) -> None:
        for pause_s in LOOKS_AFTER_S:
            await asyncio.sleep(pause_s)
            if await is_refused(address):
                self._ended(target, run)
                return

    def _ended(self, target: str, run: LostRun) -> None:
        own = self._membership.instance
        log.warning("engine ended under a request", target=target, content=run.content)
        news = EndNews(
            own, target, run.content, run.caller, run.age_s, run.events, self._clock()
        )
        self._take(news, own)
        self._peers.send_all(news)

    def _end_told(self, peer: str, news: EndNews) -> None:
        self._take(news, news.instance)

    def _take(self, news: EndNews, reported_by: str) -> None:
        run = LostRun(news.content, news.caller, news.age_s, news.events)
        now = self._clock()
        self.quarantine.record_crash(news.target, [run], now, reported_by)
        at = self._sound_at.get((news.content, news.caller))
        if at is not None and now - at < GOOD_RUN_TTL_S:
            self.quarantine.record_good_run(news.content, news.caller, at, now)
            self._say_sound(news.content, news.caller, now - at)

    def _say_sound(self, content: str, caller: str, ago_s: float) -> None:
        own = self._membership.instance
        self._peers.send_all(SoundNews(own, content, caller, ago_s, self._clock()))

    def _sound_told(self, peer: str, news: SoundNews) -> None:
        now = self._clock()
        self.quarantine.record_good_run(
            news.content, news.caller, now - news.ago_s, now
        )

    def judge(self) -> None:
        """Put in quarantine what is to blame by now."""
        now = self._clock()
        self.quarantine.expire(now)
        for suspect in self.quarantine.evaluate(now):
            log.warning(
                "request put in quarantine",
                content=suspect.content,
                **_told(suspect, now),
            )


def _content(request: OnlineRequest) -> str:
    """Return what a request asks for, the same at each repeat."""
    if not request.content:
        digest = hashlib.blake2b(digest_size=CONTENT_BYTES)
        digest.update(f"{request.service.name}\x00{request.path}\x00".encode())
        digest.update(orjson.dumps(request.body, option=orjson.OPT_SORT_KEYS))
        request.content = digest.hexdigest()
    return request.content


def _told(suspect: Suspect, now: float) -> dict[str, object]:
    """Return what is known of a suspect, for people."""
    hold: Hold | None = suspect.hold
    return {
        "ends": [
            [end.target, round(now - end.at, 3), end.reported_by]
            for end in suspect.crashes
        ],
        "trials": hold.trials if hold is not None else 0,
        "trial_in_s": round(hold.next_due(now) - now, 3) if hold is not None else None,
    }
