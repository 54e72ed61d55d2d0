"""Journal of a session, recorded outside the instances, and invariants on it.

Callers, targets and the platform record the events, so that a fault in an instance
cannot falsify them. Tests and the randomised run check the same table `INVARIANTS`.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping

import attrs

from currantline.standin.load import ORDER_MARK

__all__ = [
    "INVARIANTS",
    "AppliedVersion",
    "Arrival",
    "Completion",
    "FaultWindow",
    "Journal",
]

# Limits of guarantees 5 and 7 on the design page.
DRAIN_LIMIT_MS = 3000.0
APPLY_LIMIT_MS = 7000.0
BUDGET_WINDOW_MS = 1000.0
# Upper bound of the duration of a request, since callers time out after 30 s.
MAX_REQUEST_MS = 30_500.0
# Time after the end of a fault by which all leases are held again.
SETTLE_MS = 6000.0


@attrs.frozen(kw_only=True)
class Arrival:
    """Arrival of a request at a target; the time is in milliseconds."""

    when: float
    target: str
    request_id: str


@attrs.frozen(kw_only=True)
class Completion:
    """Outcome of a request at its caller; the time is in milliseconds."""

    when: float
    request_id: str
    outcome: str
    is_match: bool = True


@attrs.define(kw_only=True)
class FaultWindow:
    """The time during which a fault or a drain is active.

    Parameters
    ----------
    name : str
        Name of the fault, or of the target that drains.
    start, end : float
        Times in milliseconds; the end is infinite while the fault is active.
    allows_unknown : bool
        Whether requests during the fault may have the outcome ``unknown``.
    """

    name: str
    start: float
    end: float = float("inf")
    allows_unknown: bool = False


@attrs.frozen(kw_only=True)
class AppliedVersion:
    """The configuration in effect at one process at a point in time.

    Parameters
    ----------
    when : float
        Time of the observation in milliseconds.
    process : str
        Name of the instance and number of the start.
    sequence, version, digest : int
        Position in the log, version and digest at the instance.
    due_version : int
        Minimum version that must be in effect by that time.
    """

    when: float
    process: str
    sequence: int
    version: int
    digest: int
    due_version: int = 0


@attrs.define(kw_only=True)
class Journal:
    """The events of a session in chronological order.

    Parameters
    ----------
    budgets : mapping of str to float
        Probe budget of each target, in probes per second.
    arrivals, completions, fault_windows, applied_versions : list
        Requests at targets, outcomes at callers, faults and changes of the applied
        configuration.
    drains : list of FaultWindow
        Times during which targets drained, named after the target.
    probes : dict of str to list of float
        Times of probes in milliseconds by target.
    published : list of tuple of float and int
        Time in milliseconds and version of each patch that must be accepted.
    errors : list of str
        Errors inside the instances.
    """

    budgets: Mapping[str, float] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    completions: list[Completion] = attrs.field(factory=list)
    fault_windows: list[FaultWindow] = attrs.field(factory=list)
    applied_versions: list[AppliedVersion] = attrs.field(factory=list)
    drains: list[FaultWindow] = attrs.field(factory=list)
    probes: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    published: list[tuple[float, int]] = attrs.field(factory=list)
    errors: list[str] = attrs.field(factory=list)

    def find_due_version(self, now: float, reachable_since: float) -> int:
        """Return the minimum version that must be in effect at an instance by now."""
        due = [
            version
            for when, version in self.published
            if now > max(when, reachable_since) + APPLY_LIMIT_MS
        ]
        return max(due, default=0)

    def find_violations(self) -> list[str]:
        """Return a line for each violation of `INVARIANTS`."""
        return [
            f"{name}: {line}"
            for name, check in INVARIANTS.items()
            for line in check(self)
        ]


def check_orders(journal: Journal) -> Iterator[str]:
    """Yield orders that reached targets more than once."""
    arrival_counts = Counter(arrival.request_id for arrival in journal.arrivals)
    for request_id, count in arrival_counts.items():
        if ORDER_MARK in request_id and count > 1:
            yield f"{request_id} reached targets {count} times"


def check_not_run(journal: Journal) -> Iterator[str]:
    """Yield requests with outcome ``not-run`` that reached a target."""
    arrived_ids = {arrival.request_id for arrival in journal.arrivals}
    for completion in journal.completions:
        if completion.outcome == "not-run" and completion.request_id in arrived_ids:
            yield f"{completion.request_id} at {completion.when:.1f} ms"


def check_matches(journal: Journal) -> Iterator[str]:
    """Yield requests with an incomplete response or that of another request."""
    for completion in journal.completions:
        if not completion.is_match:
            yield f"{completion.request_id} at {completion.when:.1f} ms"


def check_outcomes(journal: Journal) -> Iterator[str]:
    """Yield requests whose response has none of the three outcomes."""
    for completion in journal.completions:
        if completion.outcome not in ("answered", "not-run", "unknown"):
            yield f"{completion.request_id} has outcome {completion.outcome}"


def check_unknown(journal: Journal) -> Iterator[str]:
    """Yield requests with outcome ``unknown`` without a fault that allows it."""
    allowing = [each for each in journal.fault_windows if each.allows_unknown]
    for completion in journal.completions:
        is_allowed = any(
            each.start <= completion.when <= each.end + MAX_REQUEST_MS
            for each in allowing
        )
        if completion.outcome == "unknown" and not is_allowed:
            yield f"{completion.request_id} at {completion.when:.1f} ms"


def check_drains(journal: Journal) -> Iterator[str]:
    """Yield requests that reached a target too long after it started to drain."""
    for drain in journal.drains:
        for arrival in journal.arrivals:
            is_late = drain.start + DRAIN_LIMIT_MS < arrival.when < drain.end
            if arrival.target == drain.name and is_late:
                late_ms = arrival.when - drain.start
                yield f"{arrival.request_id} at {drain.name} after {late_ms:.1f} ms"


def check_applied_versions(journal: Journal) -> Iterator[str]:
    """Yield reverted, diverging, delayed and unpublished configurations."""
    previous: dict[str, AppliedVersion] = {}
    digests: dict[int, int] = {0: 0}
    highest = max((version for _, version in journal.published), default=0)
    for applied in journal.applied_versions:
        earlier = previous.get(applied.process, applied)
        where = f"{applied.process} at {applied.when:.1f} ms"
        if applied.sequence < earlier.sequence:
            yield f"{where}: sequence {applied.sequence} after {earlier.sequence}"
        if applied.version < earlier.version:
            yield f"{where}: version {applied.version} after {earlier.version}"
        if digests.setdefault(applied.version, applied.digest) != applied.digest:
            yield f"{where}: version {applied.version} differs between instances"
        if applied.version < applied.due_version:
            yield f"{where}: {applied.version} in effect, {applied.due_version} due"
        if journal.published and applied.version > highest:
            yield f"{where}: version {applied.version} was never accepted"
        previous[applied.process] = applied


def check_probes(journal: Journal) -> Iterator[str]:
    """Yield the times at which the probes of a target exceeded its budget."""
    for target, times in journal.probes.items():
        budget = journal.budgets[target]
        first = 0
        for number, now in enumerate(times):
            # The tolerance excludes probes exactly 1 s apart despite rounding errors.
            while times[first] <= now - BUDGET_WINDOW_MS + 1e-6:
                first += 1
            count = number - first + 1
            limit = budget / 2 if _is_fault_free(journal, now) else budget
            if count > limit:
                yield f"{target}: {count} in 1 s at {now:.1f} ms, {limit:g} allowed"


def check_errors(journal: Journal) -> Iterator[str]:
    """Yield the errors inside the instances."""
    yield from journal.errors


def _is_fault_free(journal: Journal, now: float) -> bool:
    return not any(
        each.start <= now and now - BUDGET_WINDOW_MS <= each.end + SETTLE_MS
        for each in journal.fault_windows
    )


INVARIANTS: dict[str, Callable[[Journal], Iterator[str]]] = {
    "an order reaches targets at most once": check_orders,
    "requests with outcome not-run never reach a target": check_not_run,
    "a response matches its request": check_matches,
    "every response has an outcome": check_outcomes,
    "outcome unknown only with a fault that allows it": check_unknown,
    "no request reaches a target 3 s after its drain started": check_drains,
    "accepted patches take effect and are not reverted": check_applied_versions,
    "probes stay within the budget": check_probes,
    "no errors occur inside instances": check_errors,
}
