"""Choice of a target by predicted response time.

Speed and utilisation of hosts change many times a second. The choice therefore uses
load reports that are milliseconds old and takes the target with the lowest predicted
response time.
"""

import random
from collections.abc import Iterable

import attrs

from currantline.placement._load_report import LoadReport
from currantline.placement._target import Target

__all__ = [
    "WARMUP_SLOWNESS",
    "Candidate",
    "choose_candidate",
    "estimate_response_ms",
    "find_optimal_concurrency",
]

# Duration of a slow episode of a host in milliseconds. Noisy neighbours change about
# this often, and a request that is still running continues at normal speed afterwards.
SLOW_EPISODE_MS = 300.0

# Utilisation above which a target slows down (the knee of its throughput curve), and
# the factor by which it does.
KNEE_UTILISATION = 0.8
KNEE_SLOWNESS = 1.7

# Factor by which a target is slower while it warms up.
WARMUP_SLOWNESS = 2.0

# Penalty for a recent failure as a multiple of the average response time: the request
# is likely to need a retry.
FAILURE_PENALTY = 2.0

# Penalty for a target that reports itself unhealthy, in the same unit. It is finite
# because health checks may be wrong.
UNHEALTHY_PENALTY = 3.0

# One of this many useful slots is reserved for requests that can still meet their
# latency objective.
SLOTS_PER_RESERVE = 4

# Candidates whose predicted time is within this fraction of the best one tie. One of
# them is drawn, so that instances with the same reports do not all choose the same
# target.
TIE_TOLERANCE = 0.1


@attrs.frozen(eq=False)
class Candidate:
    """A target and its latest load report.

    Parameters
    ----------
    target : Target
        The target.
    report : LoadReport
        Load that the target reported.
    """

    target: Target
    report: LoadReport

    @property
    def in_flight(self) -> int:
        """Running and queued requests, and those sent there since the report."""
        sent = self.target.count_in_flight(self.report.requested_ms)
        return self.report.running + self.report.waiting + sent

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would not lower the throughput of the target."""
        return self.in_flight < find_optimal_concurrency(self.report.slots)

    @property
    def leaves_reserve(self) -> bool:
        """Whether the reserved slots stay free after one more request."""
        optimal = find_optimal_concurrency(self.report.slots)
        return self.in_flight < optimal - optimal // SLOTS_PER_RESERVE

    @property
    def is_mostly_idle(self) -> bool:
        """Whether one more request would use at most half of the slots."""
        return 2 * (self.in_flight + 1) <= self.report.slots


def find_optimal_concurrency(slots: int) -> int:
    """Return the number of concurrent requests with the highest throughput.

    Above the knee every request is slower, which may cost more throughput than the
    additional slots provide.

    Examples
    --------
    >>> [find_optimal_concurrency(slots) for slots in (1, 2, 6, 8)]
    [1, 2, 4, 6]
    """
    below_knee = int(KNEE_UTILISATION * slots)
    return slots if slots / KNEE_SLOWNESS > below_knee else below_knee


def estimate_response_ms(candidate: Candidate, average_ms: float, now: float) -> float:
    """Return the predicted response time in milliseconds.

    Parameters
    ----------
    candidate : Candidate
        Target and load report.
    average_ms : float
        Average response time of the route in milliseconds.
    now : float
        Current time in milliseconds.
    """
    target, report = candidate.target, candidate.report
    occupied = report.running + target.count_in_flight(report.requested_ms)
    work = average_ms * max(1.0, target.passive_health.decayed_slowness(now))
    if now < target.cold_until_ms:
        work *= WARMUP_SLOWNESS
    if (occupied + 1) / report.slots > KNEE_UTILISATION:
        work *= KNEE_SLOWNESS
    slow = work * (report.slowness - 1.0)
    if report.slowness > 1.0:
        slow = min(slow, SLOW_EPISODE_MS * (1.0 - 1.0 / report.slowness))
    ahead = max(0, occupied - report.slots + 1) + report.waiting
    wait = ahead / report.slots * average_ms * max(1.0, report.slowness)
    penalty = FAILURE_PENALTY * target.passive_health.excess_failure_weight(now)
    if not report.is_healthy:
        penalty += UNHEALTHY_PENALTY
    return work + slow + wait + penalty * average_ms + report.took_ms


def choose_candidate(
    candidates: Iterable[Candidate], average_ms: float, now: float, rng: random.Random
) -> tuple[Candidate, float] | None:
    """Return the best candidate and its predicted response time, or None.

    Parameters
    ----------
    candidates : iterable of Candidate
        Targets with load reports.
    average_ms : float
        Average response time of the route in milliseconds.
    now : float
        Current time in milliseconds.
    rng : random.Random
        Breaks ties among near-equal candidates.
    """
    rated = [(estimate_response_ms(c, average_ms, now), c) for c in candidates]
    if not rated:
        return None
    best = min(time for time, _ in rated)
    near = [(time, c) for time, c in rated if time <= best * (1 + TIE_TOLERANCE)]
    time, candidate = rng.choice(near)
    return candidate, time
