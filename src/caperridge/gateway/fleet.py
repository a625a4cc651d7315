"""The targets as this instance sees them: list, load, reachability and ejections.

Implements outlier ejection; the limits per target are in
:mod:`caperridge.decisions.ejection`.
"""

import math
import random
from collections.abc import Callable

from caperridge.decisions.answer_time import MIN_EVENTS, Spread
from caperridge.decisions.ejection import Health
from caperridge.decisions.run_lengths import RunStatistics
from caperridge.decisions.stream_origins import VersionHistory
from caperridge.gateway.occupancy import Occupancy
from caperridge.gateway.targets import Target, TargetList
from caperridge.log import logger
from caperridge.targets.outcomes import AttemptError, NotSent

log = logger(__name__)

# Callers time out after 5 s; a target that has recovered should serve them by then.
MAX_EJECTION_S = 4.0
# Failures further apart than this are unrelated: about one request in a hundred breaks
# at any target.
FAILURE_WINDOW_S = 10.0
# A target may refuse an item although its counts show a free slot; it is offered no
# other item for this long.
ITEM_REFUSAL_COOLDOWN_S = 0.5
# When another target answers at its address, the target is gone; only its entry
# remains, for 5 s or until the store is reachable again. Not permanent, because that
# answer may have been garbled.
REPLACED_COOLDOWN_S = 4.0


class Fleet:
    """The listed targets, and which of them may get requests.

    Attributes:
        zone: own availability zone.
        rng: breaks ties.
        targets: the listed targets.
        versions: the software versions that targets have been listed with.
        list_known_since: returns since when every change of the list has been known;
            infinity if changes may be missing.
        occupancy: requests at each target.
        targets_known: the list of targets has been read.
        remote_counts_stale: there are too many peers to send each one every count, so
            counts of other availability zones are old.
        unreachable: addresses of targets that accept no connections, by id.
        run_lengths_by_service: how long runs take, observed here or reported by peers.
        pace_by_target: seconds between two events of answers, observed here.
        silent_zones: returns the availability zones that may be cut off, whose targets
            are used last.

    Args:
        instance: own id.
        zone: own availability zone.
        rng: breaks ties.
    """

    def __init__(self, instance: str, zone: str, rng: random.Random) -> None:
        self.zone = zone
        self.rng = rng
        self.targets = TargetList()
        self.versions = VersionHistory()
        self.list_known_since: Callable[[], float] = lambda: math.inf
        self.occupancy = Occupancy(instance)
        self.targets_known = False
        self.remote_counts_stale = False
        self.unreachable: dict[str, str] = {}
        self.run_lengths_by_service: dict[str, RunStatistics] = {}
        self.pace_by_target: dict[str, Spread] = {}
        self._health_by_target: dict[str, Health] = {}
        self._failed_at_by_target: dict[str, float] = {}
        self._refusing_until_by_target: dict[str, float] = {}
        self._replaced_until_by_target: dict[str, float] = {}
        self.silent_zones: Callable[[float], frozenset[str]] = lambda now: frozenset()
        self._change_callbacks: list[Callable[[], None]] = []

    def run_lengths(self, service: str) -> RunStatistics:
        """Return the run lengths observed for ``service``."""
        lengths = self.run_lengths_by_service.get(service)
        if lengths is None:
            lengths = self.run_lengths_by_service[service] = RunStatistics()
        return lengths

    def record_answer(
        self, target: Target, events: int, took_s: float, queued: bool
    ) -> None:
        """Record an online request that completed.

        Args:
            target: that ran it.
            events: number of its events in this run.
            took_s: seconds from sending it to its completion.
            queued: whether it may have waited for a slot at its target.
        """
        lengths = self.run_lengths(target.service)
        lengths.record_answer(events, took_s, queued)
        if queued or events < MIN_EVENTS:
            return
        lengths.answers.event_s.add(took_s / events)
        pace = self.pace_by_target.setdefault(target.id, Spread())
        pace.add(took_s / events)

    def recent_versions(self, service: str, now: float, within_s: float) -> set[str]:
        """Return the versions that may have begun a stream, as far as known here.

        Args:
            service: name of the service.
            now: on the event loop's clock.
            within_s: the oldest stream may have begun so long ago, in seconds.
        """
        listed = {
            target.software_version
            for target in self.targets.by_id.values()
            if target.service == service
        }
        return listed | self.versions.recent(service, now, within_s)

    def only_version(self, service: str, now: float, within_s: float) -> str | None:
        """Return the only version that can have begun a stream; None if unsure.

        See :meth:`recent_versions`. This instance is unsure if it has not known every
        change of the list for so long.
        """
        versions = self.recent_versions(service, now, within_s)
        if len(versions) != 1 or now - self.list_known_since() < within_s:
            return None
        return versions.pop()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register ``callback`` to be called when counts or targets have changed."""
        self._change_callbacks.append(callback)

    def notify_changed(self) -> None:
        """Call what was registered with :meth:`on_change`."""
        for callback in self._change_callbacks:
            callback()

    def usable(
        self,
        service: str,
        now: float,
        excluded: frozenset[str] = frozenset(),
        software_version: str | None = None,
    ) -> list[Target]:
        """Return the targets of ``service`` that may get a request.

        If all of them are ejected, all are returned, as the ejections then say nothing
        about a single target. Targets of an availability zone that may be cut off are
        left out while there are others.

        Args:
            service: name of the service.
            now: on the event loop's clock.
            excluded: ids of targets to leave out.
            software_version: only targets of this version; None for all.
        """
        listed = [
            target
            for target in self.targets.of_service(service)
            if target.id not in excluded
            and software_version in (None, target.software_version)
        ]
        healthy = [target for target in listed if not self._is_ejected(target.id, now)]
        silent = self.silent_zones(now)
        reachable = [one for one in healthy if one.availability_zone not in silent]
        return reachable or healthy or listed

    def is_usable(self, id: str, now: float) -> bool:
        """Whether a target is listed, takes new work and is not ejected."""
        target = self.targets.by_id.get(id)
        return (
            target is not None and not target.draining and not self._is_ejected(id, now)
        )

    def record_item_refusal(self, id: str, now: float) -> None:
        """Record that a target refused an item without running it."""
        self._refusing_until_by_target[id] = now + ITEM_REFUSAL_COOLDOWN_S

    def mark_replaced(self, id: str, now: float) -> None:
        """Record that another target answered at the address of this one."""
        if self._replaced_until_by_target.get(id, 0.0) <= now:
            log.info("target replaced", target=id)
        self._replaced_until_by_target[id] = now + REPLACED_COOLDOWN_S

    def takes_items(self, id: str, now: float) -> bool:
        """Whether a target is usable and has not refused an item recently."""
        refusing_until = self._refusing_until_by_target.get(id, 0.0)
        return refusing_until <= now and self.is_usable(id, now)

    def record_success(self, target: str, now: float) -> None:
        """Record a complete answer of ``target``."""
        health = self._health_by_target.get(target)
        if health is not None:
            health.record_success(now)

    def record_failure(self, target: Target, error: AttemptError, now: float) -> None:
        """Record a failed attempt; eject the target if it has failed too often."""
        health = self._health_by_target.setdefault(target.id, Health())
        if health.is_ejected(now):
            # Requests in flight at the ejection are no new evidence.
            return
        failed_at = self._failed_at_by_target.get(target.id, now)
        self._failed_at_by_target[target.id] = now
        if now - failed_at > FAILURE_WINDOW_S:
            health = self._health_by_target[target.id] = Health()
        if not health.record_failure(error):
            return
        ejection_s = min(health.eject(now), MAX_EJECTION_S)
        health.out_until = now + ejection_s
        if isinstance(error, NotSent):
            self.unreachable[target.id] = target.address
        log.warning(
            "target ejected", target=target.id, out_s=ejection_s, reason=error.reason
        )

    def mark_crashed(self, target: Target) -> None:
        """Stop using a crashed target until its address accepts connections again."""
        listed = self.targets.by_id.get(target.id)
        if listed is None or target.id in self.unreachable:
            return
        self.unreachable[target.id] = target.address
        self.notify_changed()

    def mark_reachable(self, target: str) -> None:
        """Record that an unreachable target accepts connections again."""
        was_unreachable = self.unreachable.pop(target, None) is not None
        if self._health_by_target.pop(target, None) is not None or was_unreachable:
            log.info("target reachable again", target=target)
            self.notify_changed()

    def discard_removed(self) -> None:
        """Discard the state of targets that are no longer listed."""
        for id in list(self._health_by_target):
            if id not in self.targets.by_id:
                del self._health_by_target[id]
                self._failed_at_by_target.pop(id, None)
                self.unreachable.pop(id, None)
        for id in list(self.pace_by_target):
            if id not in self.targets.by_id:
                del self.pace_by_target[id]
        for id in list(self._refusing_until_by_target):
            if id not in self.targets.by_id:
                del self._refusing_until_by_target[id]
        for id in list(self._replaced_until_by_target):
            if id not in self.targets.by_id:
                del self._replaced_until_by_target[id]

    def _is_ejected(self, target: str, now: float) -> bool:
        if target in self.unreachable:
            return True
        if self._replaced_until_by_target.get(target, 0.0) > now:
            return True
        health = self._health_by_target.get(target)
        return health is not None and health.is_ejected(now)
