"""The metrics of one instance."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

TTFT_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 3.0, 6.0)
TOKEN_BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.08, 0.15, 0.3, 1.0)


class Metrics:
    """All metrics, in a registry of their own, so that tests do not share them."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "caperridge_requests",
            "Online requests by service and outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.ttft = Histogram(
            "caperridge_first_token_seconds",
            "Time to the first token of online requests.",
            ["service"],
            buckets=TTFT_BUCKETS,
            registry=self.registry,
        )
        self.between_tokens = Histogram(
            "caperridge_between_tokens_seconds",
            "Mean time between tokens of an online request.",
            ["service"],
            buckets=TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.attempts = Counter(
            "caperridge_attempts",
            "Attempts at targets by outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "caperridge_refusals",
            "Refusals of online requests by code.",
            ["code"],
            registry=self.registry,
        )
        self.queue_wait = Histogram(
            "caperridge_queue_wait_seconds",
            "Time that online requests waited because all targets were full.",
            ["service"],
            buckets=TTFT_BUCKETS,
            registry=self.registry,
        )
        self.routed = Counter(
            "caperridge_routed",
            "Attempts sent, by whether a prefix was thought to be cached.",
            ["service", "prefix"],
            registry=self.registry,
        )
        self.ejected = Counter(
            "caperridge_targets_ejected",
            "Ejections of targets that failed.",
            ["service"],
            registry=self.registry,
        )
        self.budget_spent = Counter(
            "caperridge_retry_budget_spent",
            "Requests refused because the retry budget was spent.",
            ["service"],
            registry=self.registry,
        )
        self.batch_items = Counter(
            "caperridge_batch_items",
            "Batch items by service and outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.preempted = Counter(
            "caperridge_batch_preempted",
            "Batch streams stopped to make room for online requests.",
            ["service"],
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "caperridge_configuration_version",
            "Version in force in this instance.",
            registry=self.registry,
        )
        self.lease_left = Gauge(
            "caperridge_lease_left_seconds",
            "What is left of the lease on the own clock; 0 if it has ended.",
            registry=self.registry,
        )

    def watch_lease(self, left_s: Callable[[], float]) -> None:
        """Read what is left of the lease whenever the metrics are asked for."""
        self.lease_left.set_function(lambda: max(0.0, left_s()))
