"""Decides whether a request may be sent once more, as a retry or a hedge."""

from collections.abc import Callable

from currantline.clock import Clock
from currantline.relay._progress import Progress
from currantline.relay._selection import RequestContext
from currantline.relay._sender import Outcome
from currantline.routing import RetryBudget, RetryBudgetOptions
from currantline.telemetry import Meter

__all__ = ["MIN_REMAINING_MS", "RepeatLimiter"]

# Requests with less remaining time are refused, in milliseconds: a round trip to a
# target takes this long.
MIN_REMAINING_MS = 5.0


class RepeatLimiter:
    """Limits the repeats of requests by their route and the retry budget.

    Parameters
    ----------
    options : RetryBudgetOptions
        Retry budget of the fleet.
    count_instances : callable
        Returns the number of instances that share the budget.
    clock : Clock
        Source of time.
    meter : Meter
        Counts repeats.
    """

    def __init__(
        self,
        options: RetryBudgetOptions,
        *,
        count_instances: Callable[[], int],
        clock: Clock,
        meter: Meter,
    ) -> None:
        self._options = options
        self._count_instances = count_instances
        self._clock = clock
        self._meter = meter
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, context: RequestContext) -> None:
        """Count a request of a caller."""
        self._find_budget(context).record_request(context.arrived_ms)

    def can_repeat(self, progress: Progress) -> bool:
        """Return whether its route allows to send a request once more."""
        context = progress.context
        if not progress.sends or progress.sends >= context.route.max_attempts:
            return False
        is_clean = all(r.outcome is Outcome.NOT_RUN for r in progress.results)
        return context.route.is_idempotent or (
            is_clean and len(progress.results) == progress.sends
        )

    def try_acquire(self, progress: Progress, *, is_hedge: bool = False) -> bool:
        """Use one repeat of the budget and return True if a request may be repeated."""
        if progress.refusal_reason or not self.can_repeat(progress):
            return False
        now = self._clock.read()
        if progress.context.deadline_ms - now < MIN_REMAINING_MS:
            return False
        instances = self._count_instances()
        is_allowed = self._find_budget(progress.context).try_acquire(now, instances)
        kind = "hedges" if is_hedge else "retries"
        label = kind if is_allowed else f"{kind}_over_budget"
        self._meter.count("repeats", kind=label)
        return is_allowed

    def _find_budget(self, context: RequestContext) -> RetryBudget:
        name = context.service.name
        if name not in self._budgets:
            self._budgets[name] = RetryBudget(self._options)
        return self._budgets[name]
