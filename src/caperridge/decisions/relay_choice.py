"""Selection of the peer that relays platform calls of a partitioned instance.

Peers in other availability zones come first, since a partition mostly affects a whole
zone. A peer that failed is skipped for a cooldown with exponential backoff.
"""

from collections.abc import Iterable, Mapping

from caperridge.decisions.backoff import backoff_s
from caperridge.decisions.rendezvous import owner

BASE_COOLDOWN_S = 1.0
MAX_COOLDOWN_S = 20.0
OTHER_ZONE_STREAMS = 2


class RelaySelector:
    """Selects relays and tracks their failures.

    Args:
        instance: id of this instance.
        availability_zone: zone of this instance.
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
        """Return the peer to ask; None if there is none.

        Args:
            zones_by_id: zones of the connected peers.
            calls_by_id: number of pending calls at each peer.
            excluded: peers that were asked already.
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
        """Record that ``peer`` reaches the platform."""
        self._failures_by_id.pop(peer, None)
        self._cooldown_until_by_id.pop(peer, None)

    def record_failure(self, peer: str, now: float) -> None:
        """Record that ``peer`` could not relay a call."""
        failures = self._failures_by_id.get(peer, 0) + 1
        self._failures_by_id[peer] = failures
        self._cooldown_until_by_id[peer] = now + backoff_s(
            failures, 1.0, BASE_COOLDOWN_S, MAX_COOLDOWN_S
        )

    def peers_to_connect(self, live_by_zone: Mapping[str, Iterable[str]]) -> list[str]:
        """Return peers in other zones that this instance should have streams to.

        Each instance of a partitioned zone gets different peers, to spread the load.
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
