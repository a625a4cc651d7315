"""What this instance knows of the targets: list, counts and who can be reached."""

import random
from collections.abc import Callable

from caperridge.decisions.ejection import Health
from caperridge.decisions.run_lengths import RunLengths
from caperridge.gateway.occupancy import Occupancy
from caperridge.gateway.targets import Target, TargetList
from caperridge.log import logger
from caperridge.targets.outcomes import AttemptError, NotSent

log = logger(__name__)

# Callers give up after 5 s; a target that is back should serve them again by then.
MAX_EJECTION_S = 4.0
# Failures further apart than this have nothing to do with each other: one request in
# some hundred breaks at any target.
FAILURE_WINDOW_S = 10.0
# A target that refuses an item though it looks free knows better; it is not offered
# another one for so long.
REFUSED_FOR_S = 0.5
# Another target answers at its address, so it has ended; only its entry is still there,
# for 5 s or until the store is back. Long, yet not for good: an answer may be garbled.
REPLACED_FOR_S = 4.0


class Fleet:
    """The targets with what speaks for and against using each.

    Attributes:
        far_counts_are_old: peers are too many to tell each one all counts.
        lengths_by_service: how long runs take, learnt here or told by peers.

    Args:
        instance: own id.
        zone: own availability zone.
        chance: breaks ties.
    """

    def __init__(self, instance: str, zone: str, rng: random.Random) -> None:
        self.zone = zone
        self.rng = rng
        self.targets = TargetList()
        self.occupancy = Occupancy(instance)
        self.targets_known = False
        self.remote_counts_stale = False
        self.unreachable: dict[str, str] = {}
        self.run_lengths_by_service: dict[str, RunLengths] = {}
        self._health_by_target: dict[str, Health] = {}
        self._failed_at_by_target: dict[str, float] = {}
        self._refusing_until_by_target: dict[str, float] = {}
        self._replaced_until_by_target: dict[str, float] = {}
        # Zones whose targets are tried last for a moment.
        self.silent_zones: Callable[[float], frozenset[str]] = lambda now: frozenset()
        self._changed: list[Callable[[], None]] = []

    def run_lengths(self, service: str) -> RunLengths:
        """Return what is known of how long the runs of ``service`` take."""
        lengths = self.run_lengths_by_service.get(service)
        if lengths is None:
            lengths = self.run_lengths_by_service[service] = RunLengths()
        return lengths

    def on_change(self, call: Callable[[], None]) -> None:
        """Have ``call`` called when counts or targets have changed."""
        self._changed.append(call)

    def notify_changed(self) -> None:
        """Tell everyone who asked that counts or targets have changed."""
        for call in self._changed:
            call()

    def usable(
        self, service: str, now: float, excluded: frozenset[str] = frozenset()
    ) -> list[Target]:
        """Return the targets of ``service`` that may get a request.

        When all of them are ejected, being ejected says nothing about any one. Those
        of a zone that may have been cut off are left out while there are others.
        """
        listed = [
            target
            for target in self.targets.of_service(service)
            if target.id not in excluded
        ]
        sound = [target for target in listed if not self._is_out(target.id, now)]
        silent = self.silent_zones(now)
        heard = [one for one in sound if one.availability_zone not in silent]
        return heard or sound or listed

    def is_usable(self, id: str, now: float) -> bool:
        """Whether a target is listed, takes new work and is not ejected."""
        target = self.targets.by_id.get(id)
        return target is not None and not target.draining and not self._is_out(id, now)

    def record_item_refusal(self, id: str, now: float) -> None:
        """Note that a target refused an item unrun."""
        self._refusing_until_by_target[id] = now + REFUSED_FOR_S

    def mark_replaced(self, id: str, now: float) -> None:
        """Note that another target answered at the address of this one."""
        if self._replaced_until_by_target.get(id, 0.0) <= now:
            log.info("target replaced", target=id)
        self._replaced_until_by_target[id] = now + REPLACED_FOR_S

    def takes_items(self, id: str, now: float) -> bool:
        """Whether a target is usable and has not refused an item lately."""
        refusing_until = self._refusing_until_by_target.get(id, 0.0)
        return refusing_until <= now and self.is_usable(id, now)

    def record_success(self, target: str, now: float) -> None:
        """Note a whole answer of ``target``."""
        health = self._health_by_target.get(target)
        if health is not None:
            health.record_success(now)

    def record_failure(self, target: Target, error: AttemptError, now: float) -> None:
        """Note what became of an attempt; eject the target if that is enough."""
        health = self._health_by_target.setdefault(target.id, Health())
        if health.is_ejected(now):
            # Requests that were under way when it was ejected say nothing new.
            return
        failed_at = self._failed_at_by_target.get(target.id, now)
        self._failed_at_by_target[target.id] = now
        if now - failed_at > FAILURE_WINDOW_S:
            health = self._health_by_target[target.id] = Health()
        if not health.record_failure(error):
            return
        out_s = min(health.eject(now), MAX_EJECTION_S)
        health.out_until = now + out_s
        if isinstance(error, NotSent):
            self.unreachable[target.id] = target.address
        log.warning(
            "target ejected", target=target.id, out_s=out_s, reason=error.reason
        )

    def mark_crashed(self, target: Target) -> None:
        """Leave a target alone that has ended, until something listens there again."""
        listed = self.targets.by_id.get(target.id)
        if listed is None or target.id in self.unreachable:
            return
        self.unreachable[target.id] = target.address
        self.notify_changed()

    def mark_reachable(self, target: str) -> None:
        """Note that an unreachable target accepts connections again."""
        was_unreachable = self.unreachable.pop(target, None) is not None
        if self._health_by_target.pop(target, None) is not None or was_unreachable:
            log.info("target is back", target=target)
            self.notify_changed()

    def discard_removed(self) -> None:
        """Drop what is known of targets that are no longer listed."""
        for id in list(self._health_by_target):
            if id not in self.targets.by_id:
                del self._health_by_target[id]
                self._failed_at_by_target.pop(id, None)
                self.unreachable.pop(id, None)
        for id in list(self._refusing_until_by_target):
            if id not in self.targets.by_id:
                del self._refusing_until_by_target[id]
        for id in list(self._replaced_until_by_target):
            if id not in self.targets.by_id:
                del self._replaced_until_by_target[id]

    def _is_out(self, target: str, now: float) -> bool:
        if target in self.unreachable:
            return True
        if self._replaced_until_by_target.get(target, 0.0) > now:
            return True
        health = self._health_by_target.get(target)
        return health is not None and health.is_ejected(now)
