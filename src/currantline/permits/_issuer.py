"""Issues the permits of targets, evenly over time.

Permits may lie in the future, so that requests wait in the order in which they asked.
While more requests ask than the limit permits, such a queue would grow until every
request in it is late. Permits then go only as far ahead as a request that asks can wait
and still be in time, and overdue requests get those that are left over.
"""

import math

import attrs

from currantline.permits._messages import Permit, WaitBounds
from currantline.placement import RateLimit

__all__ = ["PermitIssuer"]

# Unused permits that are saved for a surge, as a time at the permitted rate, in s.
# One permit is always saved.
SAVED_S = 1.0

# Rate assumed for a target that takes fewer requests, or none: without any request the
# end of its limit would go unnoticed.
MIN_PER_S = 0.1

# Time after which the state of a target that nobody asks for is forgotten, in
# milliseconds. A partition or a restart may last this long.
RETENTION_MS = 600_000.0

# Time after a request was denied for which demand is considered above the limit, in
# milliseconds.
OVERLOAD_MS = 1_000.0

# Minimum time between two announcements of a target that names a limit in some of its
# responses only, in milliseconds.
ANNOUNCEMENT_INTERVAL_MS = 500.0


@attrs.define
class _Schedule:
    limit: RateLimit
    # Time for which the latest permit was issued, in milliseconds. The next one follows
    # after one interval, also if the limit has changed in between.
    latest_ms: float
    used_ms: float
    announced_ms: float
    overload_end_ms: float = -math.inf
    # The shortest time that a request denied during the overload could have waited.
    overload_wait_ms: float = math.inf

    def find_max_wait_ms(self, wait_bounds: WaitBounds, now: float) -> float:
        """Return how far ahead a permit for a request may lie, in milliseconds."""
        if now >= self.overload_end_ms:
            return wait_bounds.max_ms
        return min(wait_bounds.max_ms, wait_bounds.in_time_ms, self.overload_wait_ms)

    def record_denial(self, wait_bounds: WaitBounds, now: float) -> None:
        """Record that a request was denied. Overdue ones do not prolong an overload."""
        if not wait_bounds.in_time_ms:
            return
        if now >= self.overload_end_ms:
            self.overload_wait_ms = math.inf
        self.overload_wait_ms = min(self.overload_wait_ms, wait_bounds.in_time_ms)
        self.overload_end_ms = now + OVERLOAD_MS


class PermitIssuer:
    """Issues the permits of targets, evenly over time.

    Without earlier knowledge of a target the first permit comes after one interval:
    another instance may have issued permits until now.
    """

    def __init__(self) -> None:
        self._schedules: dict[str, _Schedule] = {}

    def find_limit(self, key: str) -> RateLimit:
        """Return the latest known limit of a target."""
        schedule = self._schedules.get(key)
        return schedule.limit if schedule is not None else RateLimit()

    def observe(self, key: str, limit: RateLimit, now: float) -> bool:
        """Record what a target said and return whether all must be told.

        That is so if its limit began or ended.

        Parameters
        ----------
        key : str
            Key of the target.
        limit : RateLimit
            Its limit; ignored unless it is more recent than the known one.
        now : float
            Current time in milliseconds.
        """
        schedule = self._schedules.get(key)
        if schedule is None:
            self._forget_unused(now)
            self._schedules[key] = _Schedule(
                limit, latest_ms=now, used_ms=now, announced_ms=now
            )
            return True
        if not limit.replaces(schedule.limit):
            return False
        was_limited = schedule.limit.per_s is not None
        schedule.limit = limit
        if was_limited == (limit.per_s is not None):
            return False
        # Requests without a limit leave no saved permits behind.
        schedule.latest_ms = now
        if now - schedule.announced_ms < ANNOUNCEMENT_INTERVAL_MS:
            return False
        schedule.announced_ms = now
        return True

    def issue(self, key: str, wait_bounds: WaitBounds, now: float) -> Permit:
        """Return a permit for one request to a target.

        Parameters
        ----------
        key : str
            Key of a target that was observed before.
        wait_bounds : WaitBounds
            Time for which the request can wait.
        now : float
            Current time in milliseconds.
        """
        schedule = self._schedules[key]
        schedule.used_ms = now
        per_s = schedule.limit.per_s
        if per_s is None:
            return Permit(is_granted=True)
        interval_ms = _find_interval(schedule.limit)
        saved_ms = (max(1.0, per_s * SAVED_S) - 1.0) * interval_ms
        start_ms = max(schedule.latest_ms + interval_ms, now - saved_ms)
        wait_ms = max(0.0, start_ms - now)
        max_wait_ms = schedule.find_max_wait_ms(wait_bounds, now)
        if wait_ms > max_wait_ms:
            schedule.record_denial(wait_bounds, now)
            return Permit(is_granted=False, wait_ms=wait_ms - max_wait_ms)
        schedule.latest_ms = start_ms
        return Permit(is_granted=True, wait_ms=wait_ms)

    def _forget_unused(self, now: float) -> None:
        for key, schedule in list(self._schedules.items()):
            if now - schedule.used_ms > RETENTION_MS:
                del self._schedules[key]


def _find_interval(limit: RateLimit) -> float:
    """Return the time between two permits in milliseconds."""
    return 1000.0 / max(MIN_PER_S, limit.per_s or 0.0)
