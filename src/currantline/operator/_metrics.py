"""Metrics of one instance."""

from collections.abc import Iterable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["Metrics"]

# In seconds; from below the shortest service time to above the longest response.
DURATION_BUCKETS = (
    0.002, 0.004, 0.006, 0.008, 0.012, 0.016, 0.024, 0.032, 0.048, 0.064,
    0.096, 0.128, 0.192, 0.256, 0.512, 1.024, 2.048, 4.096, 8.192, 16.384,
)  # fmt: skip
OUTCOMES = frozenset({"answered", "not-run", "unknown"})
DIRECTIONS = frozenset({"lent", "borrowed"})
OTHER = "other"
MS_PER_SECOND = 1000.0


class Metrics:
    """Metrics of one instance, in a separate registry.

    Label values that are not in the configuration in force are replaced by
    ``other``, so that callers cannot create time series.

    Parameters
    ----------
    data_centre : str
        Data centre of the instance.
    """

    def __init__(self, data_centre: str) -> None:
        self.registry = CollectorRegistry()
        self._services: dict[str, frozenset[str]] = {}
        self._data_centre = data_centre
        self._add_request_metrics()
        self._add_probe_metrics()
        self._add_slot_metrics()

    def set_targets(self, targets: dict[str, Iterable[str]]) -> None:
        """Set the targets of each service and remove the series of all others."""
        known = {service: frozenset(names) for service, names in targets.items()}
        for service, names in self._services.items():
            for name in names - known.get(service, frozenset()):
                self._remove_series(service, name)
        self._services = known

    def observe_request(
        self, service: str, priority: str, outcome: str, *, duration_ms: float
    ) -> None:
        """Record a completed request.

        Parameters
        ----------
        service, priority, outcome : str
            Label values of the request.
        duration_ms : float
            Time from arrival to end.
        """
        service = self._limit_label(service)
        outcome = outcome if outcome in OUTCOMES else OTHER
        self._requests.labels(service, priority, outcome, self._data_centre).inc()
        self._durations.labels(service, priority).observe(duration_ms / MS_PER_SECOND)

    def observe_short_wait(self, service: str, wait_ms: float) -> None:
        """Record the queueing time of a short request."""
        self._short_waits.labels(self._limit_label(service)).observe(
            wait_ms / MS_PER_SECOND
        )

    def count_probe(self, service: str, target: str, *, is_usable: bool) -> None:
        """Count a completed probe."""
        if target in self._services.get(service, ()):
            outcome = "answered" if is_usable else "failed"
            self._probes.labels(service, target, outcome).inc()

    def set_probe_budget_use(self, service: str, target: str, ratio: float) -> None:
        """Set the share of a target's probe budget used in the last second."""
        if target in self._services.get(service, ()):
            self._probe_budget_use.labels(service, target).set(ratio)

    def set_limit(self, service: str, target: str, slots: int) -> None:
        """Set the number of usable slots of a target."""
        if target in self._services.get(service, ()):
            self._limits.labels(service, target).set(slots)

    def count_loan(self, service: str, direction: str) -> None:
        """Count a slot that was ``lent`` or ``borrowed``."""
        direction = direction if direction in DIRECTIONS else OTHER
        self._loans.labels(self._limit_label(service), direction).inc()

    def count_retry(self, service: str) -> None:
        """Count a second or later attempt of a request."""
        self._retries.labels(self._limit_label(service)).inc()

    def count_violation(self) -> None:
        """Count a violation of an invariant."""
        self._violations.inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _add_request_metrics(self) -> None:
        self._requests = Counter(
            "currantline_requests",
            "Requests by outcome.",
            ["service", "priority", "outcome", "data_centre"],
            registry=self.registry,
        )
        self._durations = Histogram(
            "currantline_request_duration_seconds",
            "Time from arrival to end of a request.",
            ["service", "priority"],
            buckets=DURATION_BUCKETS,
            registry=self.registry,
        )
        self._short_waits = Histogram(
            "currantline_short_wait_seconds",
            "Time that short work waited in the queue.",
            ["service"],
            buckets=DURATION_BUCKETS,
            registry=self.registry,
        )
        self._retries = Counter(
            "currantline_retries",
            "Second and later attempts.",
            ["service"],
            registry=self.registry,
        )

    def _add_probe_metrics(self) -> None:
        self._probes = Counter(
            "currantline_probes",
            "Probes sent by this instance.",
            ["service", "target", "outcome"],
            registry=self.registry,
        )
        self._probe_budget_use = Gauge(
            "currantline_probe_budget_use_ratio",
            "Probes of this instance in the last second, over the budget of the fleet.",
            ["service", "target"],
            registry=self.registry,
        )

    def _add_slot_metrics(self) -> None:
        self._limits = Gauge(
            "currantline_target_limit_slots",
            "Slots of a target that may be used.",
            ["service", "target"],
            registry=self.registry,
        )
        self._loans = Counter(
            "currantline_loans",
            "Slots lent and borrowed.",
            ["service", "direction"],
            registry=self.registry,
        )
        self._violations = Counter(
            "currantline_invariant_violations",
            "Conditions that must always hold and did not.",
            registry=self.registry,
        )

    def _limit_label(self, service: str) -> str:
        return service if service in self._services else OTHER

    def _remove_series(self, service: str, target: str) -> None:
        for outcome in ("answered", "failed"):
            self._probes.remove(service, target, outcome)
        self._probe_budget_use.remove(service, target)
        self._limits.remove(service, target)
