"""Updates the metrics from the counts of the other packages."""

from collections.abc import Callable, Mapping

from currantline.clock import Clock
from currantline.control._plan import OwnedTargets
from currantline.dispatch import ServiceCounts
from currantline.forwarding import RequestObservation
from currantline.load import ProbeBudget, TargetTracker
from currantline.operator import Metrics

__all__ = ["MetricsUpdater"]


class MetricsUpdater:
    """Updates the metrics of one instance.

    Parameters
    ----------
    metrics : Metrics
        Receives the counts.
    target_tracker : TargetTracker
        Limits of targets.
    budget : ProbeBudget
        Use of the probe budget.
    plan : OwnedTargets
        Services of targets.
    clock : Clock
        Source of time.
    read_counts : callable
        Returns the counts of dispatch for each service.
    count_violations : callable
        Returns the number of invariant violations so far.
    """

    def __init__(
        self,
        metrics: Metrics,
        *,
        target_tracker: TargetTracker,
        budget: ProbeBudget,
        plan: OwnedTargets,
        clock: Clock,
        read_counts: Callable[[], Mapping[str, ServiceCounts]],
        count_violations: Callable[[], int],
    ) -> None:
        self._metrics = metrics
        self._target_tracker = target_tracker
        self._budget = budget
        self._plan = plan
        self._clock = clock
        self._read_counts = read_counts
        self._count_violations = count_violations
        self._counted_violations = 0
        self._counted_loans: dict[tuple[str, str], int] = {}

    def observe_request(self, observation: RequestObservation) -> None:
        """Count a request that has ended."""
        outcome = observation.outcome
        self._metrics.observe_request(
            observation.service,
            observation.priority.value,
            outcome.value if outcome is not None else "abandoned",
            duration_ms=observation.duration_ms,
        )
        if observation.attempts and not observation.is_long:
            self._metrics.observe_short_wait(observation.service, observation.waited_ms)
        for _ in range(observation.attempts - 1):
            self._metrics.count_retry(observation.service)

    def count_probe(self, target: str, is_usable: bool) -> None:
        """Count a probe that was sent and has ended."""
        service = self._plan.find_service(target)
        self._metrics.count_probe(service, target, is_usable=is_usable)

    def refresh(self) -> None:
        """Update the metrics that are read rather than counted on each event."""
        now = self._clock.read()
        for target_status in self._target_tracker.describe(now):
            service, target = target_status.service, target_status.target
            self._metrics.set_limit(service, target, target_status.limit)
            use = self._budget.measure_use(target, now)
            self._metrics.set_probe_budget_use(service, target, use)
        for service, counts in self._read_counts().items():
            self._count_loans(service, "lent", counts.loans_made)
            self._count_loans(service, "borrowed", counts.totals.borrowed)
        violations = self._count_violations()
        for _ in range(violations - self._counted_violations):
            self._metrics.count_violation()
        self._counted_violations = violations

    def _count_loans(self, service: str, direction: str, total: int) -> None:
        counted = self._counted_loans.get((service, direction), 0)
        for _ in range(total - counted):
            self._metrics.count_loan(service, direction)
        self._counted_loans[service, direction] = total
