"""Runs batch items at the own runners, within the headroom that online leaves.

The dispatcher hands over items; each comes back finished, failed or dropped. An item
that is preempted keeps its tokens and goes on later, here or at another target.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import aclosing
from typing import Any

from caperridge.config.model import Configuration, Service
from caperridge.decisions.headroom import MIN_PAUSE_S, BatchStream, Headroom
from caperridge.decisions.membership import Membership
from caperridge.decisions.own_targets import OwnTargets
from caperridge.decisions.routing import TargetPool
from caperridge.instance.absent_targets import AbsentTargets
from caperridge.instance.attempt_log import log_failure
from caperridge.instance.item_work import ItemWork
from caperridge.instance.metrics import Metrics
from caperridge.instance.running_items import RunningItem, RunningItems
from caperridge.instance.waiting_items import WaitingItems
from caperridge.instance.wake import Wake
from caperridge.log import logger
from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.events import text_of
from caperridge.targets.outcomes import AttemptError, NotSent, TargetRefused

__all__ = ["BatchStreams", "Finished", "ItemWork"]

log = logger(__name__)
OWNERS_EVERY_S = 0.25
FAILED_HOLD_S = 1.0

Finished = Callable[[ItemWork, AttemptError | None], None]


class BatchStreams:
    """The batch streams of one instance.

    Args:
        membership: says which targets this instance dispatches for.
        engines: client of the engines.
        metrics: of the instance.
        clock: monotonic seconds.
        finished: told of each item that ended; the error is None if it is whole.
    """

    def __init__(
        self,
        membership: Membership,
        engines: EngineClient,
        metrics: Metrics,
        clock: Callable[[], float],
        finished: Finished,
    ) -> None:
        self.headroom = Headroom()
        self.book = TargetPool(membership.availability_zone)
        self.configuration = Configuration()
        self.finished = finished
        self._closed: set[str] = set()
        self.own = OwnTargets(membership)
        self._engines = engines
        self._metrics = metrics
        self._clock = clock
        self._waiting = WaitingItems()
        self._running = RunningItems(engines, clock, self._reaction_seen)
        self._absent = AbsentTargets(engines, clock, self.fill)
        self._not_before_by_target: dict[str, float] = {}
        self._owners_due = 0.0
        self._wake = Wake(self.fill)

    def room(self, service: str) -> int:
        """Return how many more items of ``service`` are wanted.

        As many as may run are wanted in waiting as well, so that a place that
        becomes free does not have to wait for the next claim.
        """
        found = self.configuration.services_by_name.get(service)
        if found is None:
            return 0
        self._refresh_owners()
        places = sum(
            self._startable(target, found)
            for target in self.own.by_service.get(service, ())
        )
        return max(0, places - self._waiting.count(service))

    def serves(self, service: str) -> bool:
        """Return whether this instance has a target of ``service`` that is there."""
        self._refresh_owners()
        own = self.own.by_service.get(service, ())
        return any(target not in self._absent for target in own)

    @property
    def running(self) -> bool:
        """Whether an item runs at a target."""
        return len(self._running) > 0

    def submit(self, work: ItemWork) -> None:
        """Take an item; ``finished`` is told when it ends."""
        self._waiting.add(work)
        self.fill()

    def cancel_job(self, job: str) -> None:
        """Stop and forget every item of ``job``, without telling ``finished``."""
        self._waiting.drop_job(job)
        for item in self._running.listed():
            if item.work.job == job:
                self._stop(item)

    def drop_all(self) -> None:
        """Stop and forget everything, e.g. when the lease is lost."""
        self._waiting.clear()
        for item in self._running.listed():
            self._stop(item)

    def online_changed(
        self, target: str, sender: str, in_flight: int, sequence: int = 0
    ) -> None:
        """Note online load; preempt at once where it needs the room.

        Args:
            target: where the requests are.
            sender: the instance that has them.
            in_flight: how many it has there now.
            sequence: rises with each news of a peer; 0 for this instance's own.
        """
        now = self._clock()
        if self.headroom.update_online(target, sender, in_flight, now, sequence):
            self._preempt(target, now)
            self._wake.after(MIN_PAUSE_S)

    def latency_seen(
        self, target: str, first_token_s: float, between_tokens_s: float
    ) -> None:
        """Note what an online caller saw at ``target``; 0 for what is not known."""
        now = self._clock()
        if between_tokens_s > 0:
            running = self._running.count(target)
            self.headroom.record_step(target, running, between_tokens_s, now)
        if first_token_s > 0:
            self.headroom.record_first_token(target, first_token_s, now)
            self._preempt(target, now)

    def sender_gone(self, sender: str) -> None:
        """Forget the online load of an instance that is no longer live."""
        self.headroom.remove_sender(sender)
        self.fill()

    def fill(self) -> None:
        """Start what fits: at most a share of a target's room with each step."""
        self._refresh_owners()
        now = self._clock()
        soonest = float("inf")
        for name, waiting in self._waiting.works_by_service.items():
            service = self.configuration.services_by_name.get(name)
            if service is None:
                continue
            for target in self.own.by_service.get(name, ()):
                if not waiting:
                    break
                if target in self._absent:
                    continue
                due = self._not_before_by_target.get(target, 0.0)
                if now >= due:
                    due = self._fill_target(target, service, waiting, now)
                soonest = min(soonest, due)
        if soonest < float("inf"):
            self._wake.after(max(MIN_PAUSE_S, soonest - now))

    def state(self) -> dict[str, Any]:
        """Return what runs and waits, for the dump."""
        running = [item.stream.to_map() for item in self._running.listed()]
        return {
            "waiting_by_service": self._waiting.counts(),
            "running": running,
            "own_targets_by_service": self.own.by_service,
            "headroom_by_target": self.headroom.state(self._clock()),
        }

    def close(self, targets: set[str]) -> None:
        """Start nothing at ``targets``, which are about to load; go on elsewhere."""
        for target in targets - self._closed:
            self._requeue_all(target)
        self._closed = targets

    def _refresh_owners(self) -> None:
        now = self._clock()
        if now < self._owners_due:
            return
        self._owners_due = now + OWNERS_EVERY_S
        self._absent.ask(self._own_addresses())
        alone = self.own.is_only_instance
        changes = self.own.refresh(self.book.states_by_id)
        for peer in changes.removed_peers:
            self.headroom.remove_sender(peer)
        if alone != self.own.is_only_instance:
            self.headroom.update_peers(self.own.is_only_instance)
        for target in changes.gained:
            self.headroom.acquire_target(target, now, self.own.is_only_instance)
        for target in changes.lost:
            self.headroom.release_target(target)
            self._requeue_all(target)

    def _own_addresses(self) -> dict[str, str]:
        return {
            target: state.member.address
            for target, state in self.book.states_by_id.items()
            if self.own.owns(target)
        }

    def _preempt(self, target: str, now: float) -> None:
        service = self._service_of(target)
        if service is None or not self._running.count(target):
            return
        items_by_attempt = {
            item.stream.attempt: item for item in self._running.at(target)
        }
        streams = [item.stream for item in items_by_attempt.values()]
        for stream in self.headroom.to_preempt(
            target, service.most_running, service.batch_weight, streams, now
        ):
            item = items_by_attempt[stream.attempt]
            item.work.preemptions += 1
            self._metrics.preempted.labels(service.name).inc()
            self._requeue(item)

    def _requeue_all(self, target: str) -> None:
        for item in self._running.at(target):
            self._requeue(item)

    def _requeue(self, item: RunningItem) -> None:
        work = self._stop(item)
        self._waiting.put_back(work)

    def _service_of(self, target: str) -> Service | None:
        state = self.book.states_by_id.get(target)
        if state is None:
            return None
        return self.configuration.services_by_name.get(state.member.service)

    def _startable(self, target: str, service: Service) -> int:
        if target in self._closed or target in self._absent:
            return 0
        return self.headroom.startable(
            target, service.most_running, service.batch_weight, self._clock()
        )

    def _fill_target(
        self, target: str, service: Service, waiting: deque[ItemWork], now: float
    ) -> float:
        """Start some items at ``target``; return when to come back for more."""
        running = self._running.at(target)
        ending = sum(1 for item in running if item.stream.ending)
        starts = self.headroom.to_start(
            target,
            service.most_running,
            service.batch_weight,
            len(running),
            ending,
            now,
        )
        for _ in range(min(starts.count, len(waiting))):
            self._start(self._take_next(target, waiting), target)
        if starts.count:
            self._not_before_by_target[target] = now + starts.retry_delay_s
        return now + starts.retry_delay_s

    def _take_next(self, target: str, waiting: deque[ItemWork]) -> ItemWork:
        """Take the next item for ``target`` out of ``waiting``, which has some.

        Tokens of another software version are dropped only if no other item waits. No
        place is declined for them: the target that could continue them may be failing.
        """
        version = self._software_version(target)
        chosen = waiting[0]
        for work in waiting:
            if work.goes_on_at(version) or not self._can_go_on(work):
                chosen = work
                break
        waiting.remove(chosen)
        return chosen

    def _can_go_on(self, work: ItemWork) -> bool:
        """Whether an own target can continue the tokens of ``work``, free or not."""
        return any(
            work.goes_on_at(self._software_version(target))
            for target in self.own.by_service.get(work.service, ())
        )

    def _software_version(self, target: str) -> str:
        state = self.book.states_by_id.get(target)
        return "" if state is None else state.member.software_version

    def _start(self, work: ItemWork, target: str) -> None:
        if not work.goes_on_at(self._software_version(target)):
            log.info(
                "item starts over",
                item=work.request,
                target=target,
                software_version=self._software_version(target),
                began_at=work.software_version,
                tokens_dropped=len(work.texts),
            )
            work.texts.clear()
        work.software_version = self._software_version(target)
        if work.tokens_left == 0:
            # All tokens came, but not the closing mark that says so: get it again.
            work.texts.pop()
        work.attempts += 1
        work.last_target = target
        attempt = f"{work.request}.{work.attempts}"
        stream = BatchStream(attempt, target, len(work.texts), work.preemptions)
        item = RunningItem(stream, work)
        self._running.add(item)
        item.task = asyncio.get_running_loop().create_task(self._run(item))

    async def _run(self, item: RunningItem) -> None:
        work, stream = item.work, item.stream
        attempt = Attempt(
            work.request,
            stream.attempt,
            self.book.states_by_id[stream.target].member.address,
            work.path,
            work.body,
            len(work.texts),
        )
        error: AttemptError | None = None
        try:
            async with aclosing(self._engines.stream(attempt)) as batches:
                await self._read(item, batches)
        except AttemptFailed as failed:
            error = failed.error
            log_failure(attempt, stream.target, error, work.job)
        if stream.attempt not in self._running:
            return
        self._running.forget(item)
        if error is not None and not _permanent(error):
            # Another target may do; this one gets a moment to come back.
            until = self._clock() + FAILED_HOLD_S
            self._not_before_by_target[stream.target] = until
        if isinstance(error, NotSent):
            self._absent.note(stream.target)
            self._absent.ask(self._own_addresses())
        self.finished(work, error)
        self.fill()

    async def _read(self, item: RunningItem, batches: Any) -> None:
        work, stream = item.work, item.stream
        last_at, last_beside = 0.0, -1
        async for events in batches:
            if stream.attempt not in self._running:
                return
            work.texts.extend(text_of(event) for event in events)
            stream.tokens = len(work.texts)
            now = self._clock()
            running = self._running.count(stream.target)
            beside = self.headroom.online(stream.target, now) + running
            if beside == last_beside:
                step_s = (now - last_at) / len(events)
                self.headroom.record_step(stream.target, running, step_s, now)
            last_at, last_beside = now, beside
            stream.ending = work.tokens_left == 1
            if stream.ending:
                self._wake.after(MIN_PAUSE_S)

    def _reaction_seen(self, target: str, reaction_s: float) -> None:
        self.headroom.record_reaction(target, reaction_s)

    def _stop(self, item: RunningItem) -> ItemWork:
        state = self.book.states_by_id.get(item.stream.target)
        address = None if state is None else state.member.address
        return self._running.stop(item, address)


def _permanent(error: AttemptError) -> bool:
    return isinstance(error, TargetRefused) and error.permanent
