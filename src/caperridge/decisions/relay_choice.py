"""Which peer is asked to call the platform for an instance that is cut off from it.

One in another availability zone first, since a cut mostly hits a whole zone. A peer
that could not help sits out for a while, longer each time.
"""

from collections.abc import Iterable, Mapping

from caperridge.decisions.backoff import backoff_s
from caperridge.decisions.rendezvous import owner

BASE_COOLDOWN_S = 1.0
MAX_COOLDOWN_S = 20.0
OTHER_ZONE_STREAMS = 2


class RelaySelector:
    """Remembers who could help.

    Args:
        instance: the own id.
        availability_zone: the own one.
    """

    def __init__(self, instance: str, availability_zone: str) -> None:
        self._instance = instance
        self._availability_zone = availability_zone
        self._failures_by_id: dict[str, int] = {}
        self._cooldown_until_by_id: dict[str, float] = {}

    def pick(
        self,
        zones_by_id: Mapping[str, str],
        calls_by_id: Mapping[str, int],
        excluded: Iterable[str],
        now: float,
    ) -> str | None:
        """Return whom to ask; None if there is nobody.

        Args:
            zones_by_id: the connected peers and where they run.
            calls_by_id: calls that wait for an answer of each.
            excluded: those that were asked already.
            now: monotonic seconds.
        """
        best: tuple[bool, int, str] | None = None
        for peer, zone in zones_by_id.items():
            if peer in excluded or now < self._cooldown_until_by_id.get(peer, 0.0):
                continue
            rank = (zone == self._availability_zone, calls_by_id.get(peer, 0), peer)
            if best is None or rank < best:
                best = rank
        return None if best is None else best[2]

    def record_success(self, peer: str) -> None:
        """Note that ``peer`` reaches the platform."""
        self._failures_by_id.pop(peer, None)
        self._cooldown_until_by_id.pop(peer, None)

    def record_failure(self, peer: str, now: float) -> None:
        """Note that ``peer`` could not help."""
        failures = self._failures_by_id.get(peer, 0) + 1
        self._failures_by_id[peer] = failures
        self._cooldown_until_by_id[peer] = now + backoff_s(
            failures, 1.0, BASE_COOLDOWN_S, MAX_COOLDOWN_S
        )

    def peers_to_connect(self, live_by_zone: Mapping[str, Iterable[str]]) -> list[str]:
        """Return peers elsewhere that this instance should have streams to.

        Each instance of a zone that is cut off gets others, so that the load spreads.
        """
        zones = set(live_by_zone) - {self._availability_zone, ""}
        chosen: list[str] = []
        while zones and len(chosen) < OTHER_ZONE_STREAMS:
            zone = owner(self._instance, zones)
            assert zone is not None
            zones.discard(zone)
            peer = owner(self._instance, live_by_zone[zone])
            if peer is not None:
                chosen.append(peer)
        return chosen
