"""Choice of a target by the predicted time to its answer.

Answers the load pattern of hosts whose speed and occupancy change many times a
second: the readings are milliseconds old, and the target that would finish first is
taken.
"""

import random
from collections.abc import Iterable

import attrs

from currantline.placement._load_report import LoadReport
from currantline.placement._target import Target

__all__ = [
    "Candidate",
    "choose_candidate",
    "estimate_response_ms",
    "find_optimal_concurrency",
]

# Length of a slow episode of a host in milliseconds, after which a request that
# runs there goes on at the usual speed. Neighbours on the host change this often.
SLOW_EPISODE_MS = 300.0

# Share of its slots above which a target slows down, and how much.
KNEE_UTILISATION = 0.8
KNEE_SLOWNESS = 1.7

# How much slower a target works until it is warm.
WARMUP_SLOWNESS = 2.0

# Cost of a recent failure as a multiple of the usual time: the request is likely to
# need a second try.
FAILURE_PENALTY = 2.0

# Cost of a health check that fails, in the same unit. Health checks may be false.
UNHEALTHY_PENALTY = 3.0

# One in so many useful slots is kept for requests that can still be in time.
SLOTS_PER_RESERVE = 4

# Candidates within this part of the best one are as good; one of them is drawn, so
# that instances which read the same do not all choose the same.
TIE_TOLERANCE = 0.1


@attrs.frozen(eq=False)
class Candidate:
    """A target and its latest reading.

    Parameters
    ----------
    target : Target
        The target.
    reading : Reading
        What it reported.
    """

    target: Target
    report: LoadReport

    @property
    def in_flight(self) -> int:
        """Requests at the target, with those that this instance sent since."""
        sent = self.target.count_in_flight(self.report.requested_ms)
        return self.report.running + self.report.waiting + sent

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would not lower the target's throughput."""
        return self.in_flight < find_optimal_concurrency(self.report.slots)

    @property
    def leaves_reserve(self) -> bool:
        """Whether slots for more urgent requests stay free after one more."""
        optimal = find_optimal_concurrency(self.report.slots)
        return self.in_flight < optimal - optimal // SLOTS_PER_RESERVE

    @property
    def is_mostly_idle(self) -> bool:
        """Whether the target would be at most half taken by one more request."""
        return 2 * (self.in_flight + 1) <= self.report.slots


def find_optimal_concurrency(slots: int) -> int:
    """Return with how many requests a target gets most work done.

    Beyond the knee it does each of them more slowly, which may cost more than the
    further slots bring.

    Examples
    --------
    >>> [find_optimal_concurrency(slots) for slots in (1, 2, 6, 8)]
    [1, 2, 4, 6]
    """
    below_knee = int(KNEE_UTILISATION * slots)
    return slots if slots / KNEE_SLOWNESS > below_knee else below_knee


def estimate_response_ms(candidate: Candidate, average_ms: float, now: float) -> float:
    """Return the predicted time to the answer in milliseconds.

    Parameters
    ----------
    candidate : Candidate
        Target and reading.
    average_ms : float
        Usual time of the request at a target.
    now : float
        Current time in milliseconds.
    """
    target, report = candidate.target, candidate.report
    occupied = report.running + target.count_in_flight(report.requested_ms)
    work = average_ms * max(1.0, target.passive_health.decayed_slowness(now))
    if now < target.warmup_end_ms:
        work *= WARMUP_SLOWNESS
    if (occupied + 1) / report.slots > KNEE_UTILISATION:
        work *= KNEE_SLOWNESS
    slow = work * (report.slowness - 1.0)
    if report.slowness > 1.0:
        slow = min(slow, SLOW_EPISODE_MS * (1.0 - 1.0 / report.slowness))
    ahead = max(0, occupied - report.slots + 1) + report.waiting
    wait = ahead / report.slots * average_ms * max(1.0, report.slowness)
    penalty = FAILURE_PENALTY * target.passive_health.failure_weight(now)
    if not report.is_healthy:
        penalty += UNHEALTHY_PENALTY
    return work + slow + wait + penalty * average_ms + report.took_ms


def choose_candidate(
    candidates: Iterable[Candidate], average_ms: float, now: float, rng: random.Random
) -> tuple[Candidate, float] | None:
    """Return the best candidate and its predicted time, or None.

    Parameters
    ----------
    candidates : iterable of Candidate
        Targets with readings.
    average_ms : float
        Usual time of the request at a target.
    now : float
        Current time in milliseconds.
    rng : random.Random
        Draws among near-equal candidates.
    """
    rated = [(estimate_response_ms(c, average_ms, now), c) for c in candidates]
    if not rated:
        return None
    best = min(time for time, _ in rated)
    near = [(time, c) for time, c in rated if time <= best * (1 + TIE_TOLERANCE)]
    time, candidate = rng.choice(near)
    return candidate, time
