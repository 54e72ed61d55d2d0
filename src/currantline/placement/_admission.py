"""Decides whether a request uses a target, waits for another one or is refused.

Handles overload, when more requests arrive than the targets of a service can process
in time. Requests that can still meet their latency objective come before those that
cannot, no target is loaded past the knee of its throughput curve, and no request
waits for a slot that would come too late.
"""

import random
from collections.abc import Iterable
from typing import Protocol

from currantline.placement._choice import (
    WARMUP_SLOWNESS,
    Candidate,
    choose_candidate,
)

__all__ = [
    "RequestTiming",
    "find_cold_rank",
    "find_in_time_wait_ms",
    "find_max_cold_wait_ms",
    "find_max_wait_ms",
    "find_refusal_reason",
    "has_good_candidate",
    "is_overdue",
    "select_candidate",
    "select_hedge_candidate",
]

# A target is good if its predicted response time is within this multiple of the
# average. Targets in other data centres are not probed then.
MAX_GOOD_RATIO = 1.35

# A target is accepted if its predicted response time is within this share of the time
# left until the latency objective. The rest covers the way back to the caller and
# prediction errors.
OBJECTIVE_SHARE = 0.85

# A host is slow if its slowness exceeds this factor. The share for its targets is lower
# because other hosts are faster, and the host may stay slow.
SLOW_HOST_FACTOR = 1.5
SLOW_HOST_SHARE = 0.6

# A request is overdue once less than this multiple of the average response time is left
# until its latency objective. It would be late at any target, and yields to requests
# that would not.
OVERDUE_RATIO = 1.2

# Share of its timeout for which a request waits for a slot.
WAIT_SHARE = 0.5

# The same for an overdue request. A caller that is told early when to retry has time
# left to be served after the peak.
OVERDUE_WAIT_SHARE = 0.25


class RequestTiming(Protocol):
    """Arrival time and deadlines of a request, in milliseconds of the clock."""

    @property
    def arrived_ms(self) -> float:
        """Arrival time."""
        ...

    @property
    def objective_deadline_ms(self) -> float:
        """Time at which the latency objective ends."""
        ...

    @property
    def deadline_ms(self) -> float:
        """Time after which no response is expected any more."""
        ...


def is_overdue(request: RequestTiming, average_ms: float, now: float) -> bool:
    """Return whether a request can no longer meet its latency objective."""
    return request.objective_deadline_ms - now < OVERDUE_RATIO * average_ms


def find_refusal_reason(request: RequestTiming, average_ms: float, now: float) -> str:
    """Return why a request must not wait any longer, or an empty string if it may.

    Parameters
    ----------
    request : Timed
        The request.
    average_ms : float
        Average response time of the route in milliseconds.
    now : float
        Current time in milliseconds.
    """
    if now >= _find_wait_end(request, average_ms, now):
        return "all targets full"
    if request.deadline_ms - now < average_ms:
        return "too little time left"
    return ""


def find_max_wait_ms(request: RequestTiming, average_ms: float, now: float) -> float:
    """Return for how long a request may wait before it is sent, in milliseconds.

    Parameters
    ----------
    request : Timed
        The request.
    average_ms : float
        Average response time of the route in milliseconds.
    now : float
        Current time in milliseconds.
    """
    end_ms = min(
        _find_wait_end(request, average_ms, now), request.deadline_ms - average_ms
    )
    return max(0.0, end_ms - now)


def find_in_time_wait_ms(
    request: RequestTiming, average_ms: float, now: float
) -> float:
    """Return how long a request may wait to meet its objective, in milliseconds.

    Parameters
    ----------
    request : Timed
        The request.
    average_ms : float
        Average response time of the route in milliseconds.
    now : float
        Current time in milliseconds.
    """
    return max(0.0, request.objective_deadline_ms - OVERDUE_RATIO * average_ms - now)


def find_max_cold_wait_ms(
    request: RequestTiming, average_ms: float, now: float
) -> float:
    """Return `find_max_wait_ms` of a request that only cold targets can serve."""
    return find_max_wait_ms(request, WARMUP_SLOWNESS * average_ms, now)


def find_cold_rank(
    request: RequestTiming, priority: int, average_ms: float, now: float
) -> int:
    """Return the rank of a request for a permit of a cold target, lowest first.

    Requests are ordered by priority, and among equals by whether a cold target can
    still meet the latency objective.

    Parameters
    ----------
    request : Timed
        The request.
    priority : int
        Priority of its route; 0 is the highest.
    average_ms : float
        Average response time of the route in milliseconds.
    now : float
        Current time in milliseconds.
    """
    left_ms = request.objective_deadline_ms - now
    return 2 * priority + (left_ms < WARMUP_SLOWNESS * average_ms)


def has_good_candidate(
    candidates: Iterable[Candidate], average_ms: float, now: float, rng: random.Random
) -> bool:
    """Return whether a candidate is good enough not to probe other data centres."""
    best = choose_candidate(candidates, average_ms, now, rng)
    return best is not None and best[1] <= MAX_GOOD_RATIO * average_ms


def select_candidate(
    request: RequestTiming,
    candidates: Iterable[Candidate],
    average_ms: float,
    now: float,
    rng: random.Random,
) -> tuple[Candidate, float] | None:
    """Return the candidate for a request and its predicted response time, or None.

    Parameters
    ----------
    request : Timed
        The request.
    candidates : iterable of Candidate
        Targets with load reports.
    average_ms : float
        Average response time of the route in milliseconds.
    now : float
        Current time in milliseconds.
    rng : random.Random
        Breaks ties among near-equal candidates.
    """
    if is_overdue(request, average_ms, now):
        # The reserve is kept for requests that can still meet their objective.
        reserve = [candidate for candidate in candidates if candidate.leaves_reserve]
        return choose_candidate(reserve, average_ms, now, rng)
    available = [candidate for candidate in candidates if candidate.has_free_slot]
    best = choose_candidate(available, average_ms, now, rng)
    if best is None:
        return None
    candidate, predicted_ms = best
    is_slow = candidate.report.slowness > SLOW_HOST_FACTOR
    share = SLOW_HOST_SHARE if is_slow else OBJECTIVE_SHARE
    acceptable_ms = max(
        MAX_GOOD_RATIO * average_ms, share * (request.objective_deadline_ms - now)
    )
    return best if predicted_ms <= acceptable_ms else None


def select_hedge_candidate(
    request: RequestTiming,
    candidates: Iterable[Candidate],
    average_ms: float,
    now: float,
    rng: random.Random,
) -> tuple[Candidate, float] | None:
    """Return a mostly idle candidate for a hedge, as `select_candidate`, or None."""
    mostly_idle = [candidate for candidate in candidates if candidate.is_mostly_idle]
    best = choose_candidate(mostly_idle, average_ms, now, rng)
    if best is None or best[1] > request.deadline_ms - now:
        return None
    return best


def _find_wait_end(request: RequestTiming, average_ms: float, now: float) -> float:
    timeout_ms = request.deadline_ms - request.arrived_ms
    is_late = is_overdue(request, average_ms, now)
    share = OVERDUE_WAIT_SHARE if is_late else WAIT_SHARE
    return request.arrived_ms + share * timeout_ms
