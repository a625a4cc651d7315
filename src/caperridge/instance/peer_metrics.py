"""The metrics of the peer streams."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class PeerMetrics:
    """Registered beside the other metrics of the instance."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.connected = Gauge(
            "caperridge_peers_connected",
            "Peers to which there is a stream.",
            registry=registry,
        )
        self.live = Gauge(
            "caperridge_peers_live",
            "Live instances in the own availability zone, this one included.",
            registry=registry,
        )
        self.suspected = Gauge(
            "caperridge_peers_suspected",
            "Peers that fell silent and are not removed yet.",
            registry=registry,
        )
        self.removed = Counter(
            "caperridge_peers_removed",
            "Peers removed after a suspicion that nothing refuted.",
            registry=registry,
        )
        self.pauses = Gauge(
            "caperridge_own_pauses",
            "Pauses of this process that it noticed.",
            registry=registry,
        )
        self.bytes_in = Counter(
            "caperridge_peer_bytes_in",
            "Bytes read from peers.",
            registry=registry,
        )
        self.bytes_out = Counter(
            "caperridge_peer_bytes_out",
            "Bytes written to peers.",
            registry=registry,
        )
        self.dropped = Counter(
            "caperridge_peer_messages_dropped",
            "Messages to peers that found no room.",
            registry=registry,
        )
