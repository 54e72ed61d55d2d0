"""Whether a request takes a target, waits for another or is refused.

Answers the load pattern of a peak: more requests arrive than the targets of a service
can do in time. A request that can still be in time comes before one that cannot,
no target is pushed past its knee, and nothing waits for a slot that would come too
late.
"""

import random
from collections.abc import Iterable
from typing import Protocol

from currantline.placement._choice import Candidate, choose_candidate

__all__ = [
    "RequestTiming",
    "find_refusal_reason",
    "has_good_candidate",
    "is_overdue",
    "select_candidate",
    "select_hedge_candidate",
]

# A target whose predicted time is within this multiple of the usual one is taken
# without asking in other data centres.
MAX_GOOD_RATIO = 1.35

# A target is taken if it would answer within this part of the time that is left of
# the objective; the rest covers the way back and errors of the prediction.
OBJECTIVE_SHARE = 0.85

# The same for a target whose host is slower than this multiple of the usual; other
# hosts are faster, and it may stay slow.
SLOW_HOST_FACTOR = 1.5
SLOW_HOST_SHARE = 0.6

# A request is overdue once less than this multiple of the usual time is left of its
# objective: it would be late at any target, and gives way to those that would not.
OVERDUE_RATIO = 1.2

# Part of its time for which a request waits for a slot.
WAIT_SHARE = 0.5

# The same once it is overdue. A caller that is told early when to return has time
# left to be served after the peak.
OVERDUE_WAIT_SHARE = 0.25


class RequestTiming(Protocol):
    """Times of a request, in milliseconds of the clock."""

    @property
    def arrived_ms(self) -> float:
        """Its arrival."""
        ...

    @property
    def objective_deadline_ms(self) -> float:
        """Time by which its answer has its full value."""
        ...

    @property
    def deadline_ms(self) -> float:
        """Time at which nobody waits for it any more."""
        ...


def is_overdue(request: RequestTiming, average_ms: float, now: float) -> bool:
    """Return whether a request can no longer be answered within its objective."""
    return request.objective_deadline_ms - now < OVERDUE_RATIO * average_ms


def find_refusal_reason(request: RequestTiming, average_ms: float, now: float) -> str:
    """Return why a request must not wait any longer, or an empty string.

    Parameters
    ----------
    request : Timed
        The request.
    average_ms : float
        Usual time of the request at a target.
    now : float
        Current time in milliseconds.
    """
    time_ms = request.deadline_ms - request.arrived_ms
    is_late = is_overdue(request, average_ms, now)
    share = OVERDUE_WAIT_SHARE if is_late else WAIT_SHARE
    if now >= request.arrived_ms + share * time_ms:
        return "all targets full"
    if request.deadline_ms - now < average_ms:
        return "too little time left"
    return ""


def has_good_candidate(
    candidates: Iterable[Candidate], average_ms: float, now: float, rng: random.Random
) -> bool:
    """Return whether a target is good enough not to look farther away."""
    best = choose_candidate(candidates, average_ms, now, rng)
    return best is not None and best[1] <= MAX_GOOD_RATIO * average_ms


def select_candidate(
    request: RequestTiming,
    candidates: Iterable[Candidate],
    average_ms: float,
    now: float,
    rng: random.Random,
) -> tuple[Candidate, float] | None:
    """Return the target that a request takes and its predicted time, or None.

    Parameters
    ----------
    request : Timed
        The request.
    candidates : iterable of Candidate
        Targets with readings.
    average_ms : float
        Usual time of the request at a target.
    now : float
        Current time in milliseconds.
    rng : random.Random
        Draws among near-equal candidates.
    """
    if is_overdue(request, average_ms, now):
        # Slots that are scarce go to requests that can still be in time.
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
    """Return a mostly idle target for a second send, as `select` does, or None."""
    mostly_idle = [candidate for candidate in candidates if candidate.is_mostly_idle]
    best = choose_candidate(mostly_idle, average_ms, now, rng)
    if best is None or best[1] > request.deadline_ms - now:
        return None
    return best
