"""The Prometheus metrics of a gateway instance, in a separate registry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

FIRST_EVENT_BUCKETS = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
STANDSTILL_BUCKETS = (0.5, 1.0, 2.0, 5.0, 10.0)
STORE_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0)


class GatewayMetrics:
    """All metrics of an instance.

    Labels have few values, none of which comes from a caller.

    Attributes:
        registry: holds all metrics.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self.requests = Counter(
            "caperridge_gateway_requests",
            "Callers' requests by kind of route and outcome.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self.first_event = Histogram(
            "caperridge_gateway_first_event_seconds",
            "From the arrival of a request to its first event.",
            ["kind"],
            buckets=FIRST_EVENT_BUCKETS,
            registry=self.registry,
        )
        self.attempts = Counter(
            "caperridge_gateway_failed_attempts",
            "Attempts at targets that failed, by error.",
            ["error"],
            registry=self.registry,
        )
        self.resumed_streams = Counter(
            "caperridge_gateway_resumed_streams",
            "Streams that callers take up, by what is known of their beginning.",
            ["origin"],
            registry=self.registry,
        )
        self.items = Counter(
            "caperridge_gateway_items",
            "Runs of items by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.jobs = Counter(
            "caperridge_gateway_jobs",
            "Jobs that were sent, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "caperridge_gateway_store_calls",
            "Calls of the store by kind and outcome.",
            ["call", "outcome"],
            registry=self.registry,
        )
        self.store_seconds = Histogram(
            "caperridge_gateway_store_seconds",
            "How long calls of the store took.",
            ["call"],
            buckets=STORE_BUCKETS,
            registry=self.registry,
        )
        self.standstill = Histogram(
            "caperridge_gateway_standstill_seconds",
            "How long this process did nothing, by pauses and suspensions.",
            buckets=STANDSTILL_BUCKETS,
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "caperridge_gateway_configuration_version",
            "Version of the configuration in force here.",
            registry=self.registry,
        )
        self.peers_alive = Gauge(
            "caperridge_gateway_peers_alive",
            "Peers that were heard from lately.",
            registry=self.registry,
        )
        self.background_failures = Counter(
            "caperridge_gateway_background_failures",
            "Background tasks that ended and were restarted, by task.",
            ["task"],
            registry=self.registry,
        )
        self.target_ends = Counter(
            "caperridge_gateway_target_ends",
            "Targets that ended while they ran requests of this instance.",
            registry=self.registry,
        )
        self.held_requests = Counter(
            "caperridge_gateway_held_requests",
            "Requests that end targets, by what became of them.",
            ["outcome"],
            registry=self.registry,
        )
        self.quarantine = Gauge(
            "caperridge_gateway_quarantine",
            "Requests that end targets, known here and sent to none.",
            registry=self.registry,
        )
        self.waiting_items = Gauge(
            "caperridge_gateway_waiting_items",
            "Items of jobs held here that wait for a slot.",
            registry=self.registry,
        )
