"""Choice of a target by the predicted time to its answer.

Answers the load pattern of hosts whose speed and occupancy change many times a
second: the readings are milliseconds old, and the target that would finish first is
taken.
"""

import random
from collections.abc import Iterable

import attrs

from currantline.placement._reading import Reading
from currantline.placement._target import Target

__all__ = ["Candidate", "choose", "count_useful_slots", "estimate_ms"]

# Length of a slow episode of a host in milliseconds, after which a request that
# runs there goes on at the usual speed. Neighbours on the host change this often.
EPISODE_MS = 300.0

# Share of its slots above which a target slows down, and how much.
KNEE = 0.8
KNEE_SLOWNESS = 1.7

# How much slower a target works until it is warm.
COLD_SLOWNESS = 2.0

# Cost of a recent failure as a multiple of the usual time: the request is likely to
# need a second try.
FAILURE_COST = 2.0

# Cost of a health check that fails, in the same unit. Health checks may be false.
ILLNESS_COST = 3.0

# One in so many useful slots is kept for requests that can still be in time.
RESERVE_PER_SLOTS = 4

# Candidates within this part of the best one are as good; one of them is drawn, so
# that instances which read the same do not all choose the same.
NEAR_EQUAL = 0.1


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
    reading: Reading

    @property
    def occupied(self) -> int:
        """Requests at the target, with those that this instance sent since."""
        sent = self.target.count_sends(self.reading.asked_ms)
        return self.reading.running + self.reading.waiting + sent

    @property
    def has_slot(self) -> bool:
        """Whether one more request would not lower the target's throughput."""
        return self.occupied < count_useful_slots(self.reading.slots)

    @property
    def has_reserve(self) -> bool:
        """Whether slots for more urgent requests stay free after one more."""
        useful = count_useful_slots(self.reading.slots)
        return self.occupied < useful - useful // RESERVE_PER_SLOTS

    @property
    def is_spare(self) -> bool:
        """Whether the target would be at most half taken by one more request."""
        return 2 * (self.occupied + 1) <= self.reading.slots


def count_useful_slots(slots: int) -> int:
    """Return with how many requests a target gets most work done.

    Beyond the knee it does each of them more slowly, which may cost more than the
    further slots bring.

    Examples
    --------
    >>> [count_useful_slots(slots) for slots in (1, 2, 6, 8)]
    [1, 2, 4, 6]
    """
    below_knee = int(KNEE * slots)
    return slots if slots / KNEE_SLOWNESS > below_knee else below_knee


def estimate_ms(candidate: Candidate, usual_ms: float, now: float) -> float:
    """Return the predicted time to the answer in milliseconds.

    Parameters
    ----------
    candidate : Candidate
        Target and reading.
    usual_ms : float
        Usual time of the request at a target.
    now : float
        Current time in milliseconds.
    """
    target, reading = candidate.target, candidate.reading
    occupied = reading.running + target.count_sends(reading.asked_ms)
    work = usual_ms * max(1.0, target.standing.relax(now))
    if now < target.warm_ms:
        work *= COLD_SLOWNESS
    if (occupied + 1) / reading.slots > KNEE:
        work *= KNEE_SLOWNESS
    slow = work * (reading.slowness - 1.0)
    if reading.slowness > 1.0:
        slow = min(slow, EPISODE_MS * (1.0 - 1.0 / reading.slowness))
    ahead = max(0, occupied - reading.slots + 1) + reading.waiting
    wait = ahead / reading.slots * usual_ms * max(1.0, reading.slowness)
    penalty = FAILURE_COST * target.standing.failures(now)
    if not reading.is_healthy:
        penalty += ILLNESS_COST
    return work + slow + wait + penalty * usual_ms + reading.took_ms


def choose(
    candidates: Iterable[Candidate], usual_ms: float, now: float, rng: random.Random
) -> tuple[Candidate, float] | None:
    """Return the best candidate and its predicted time, or None.

    Parameters
    ----------
    candidates : iterable of Candidate
        Targets with readings.
    usual_ms : float
        Usual time of the request at a target.
    now : float
        Current time in milliseconds.
    rng : random.Random
        Draws among near-equal candidates.
    """
    rated = [(estimate_ms(c, usual_ms, now), c) for c in candidates]
    if not rated:
        return None
    best = min(time for time, _ in rated)
    near = [(time, c) for time, c in rated if time <= best * (1 + NEAR_EQUAL)]
    time, candidate = rng.choice(near)
    return candidate, time
