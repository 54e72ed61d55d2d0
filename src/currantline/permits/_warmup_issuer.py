"""Issues the permits of targets that warm up, within a bound on each second.

A cold target crashes well above the rate that it tolerates, so the bound is kept by
construction. Let B be the maximum number of requests in a second, W one second and V
the validity of a permit.

- A permit that was granted at time g is used in [g, g + V] or not at all: the
  requester counts V from the time at which it asked, which is not after g, and checks
  it when it writes the request.
- The requests sent in any second were therefore granted in a window of W + V.
- An issuer grants at most B/2 permits in any window of W + V, and none in the first
  W + V after it has learned that the target exists and is cold. By then the permits of
  an issuer before it, or of an earlier start of itself, have expired, and so have the
  requests of instances that did not know of the warm-up.

Proved: while all instances hold one of two views of the fleet, there are at most two
issuers, and no second sees more than B requests. The two parts of a split fleet even
hold the same view for as long as they remember each other. The same holds for a series
of views if no instance holds one that is older than W + V when a third issuer begins.

Not proved: three or more views at the same time that each choose another issuer, such
as three instances that start apart from all others; requests sent without a permit by
instances that have not learned yet that the target is cold; a process that is
suspended between the check of a permit and the system call that sends the request.
"""

from collections import deque

import attrs

from currantline.permits._messages import Permit

__all__ = ["PERMIT_VALIDITY_MS", "WINDOW_MS", "WarmupIssuer"]

# Validity of a permit for a cold target in milliseconds, from the time at which it was
# asked for. It covers the time-out of the issuer's response.
PERMIT_VALIDITY_MS = 100.0

# Window of the permits that one issuer may grant, in milliseconds: a second and the
# validity of a permit.
WINDOW_MS = 1_000.0 + PERMIT_VALIDITY_MS

# Lowest limit of requests per second that is distinguished from none.
MIN_PER_S = 0.1

# Pause of a request that yields to more important ones, in milliseconds.
YIELD_PAUSE_MS = 50.0

# Time after the end of a pause for which the place of a request is kept, in
# milliseconds. Requests that wait search every 30 ms, or 60 ms if overdue.
RETURN_GRACE_MS = 120.0

# Time after which a target that nobody asks for is forgotten, in milliseconds. The next
# request for a permit then counts as the first one.
RETENTION_MS = 10_000.0


@attrs.define
class _Window:
    first_asked_ms: float
    asked_ms: float
    granted_ms: deque[float] = attrs.field(factory=deque)
    # Time until which a place is kept, by instance and rank.
    waiting_ms: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def expire(self, now: float) -> None:
        """Drop permits and waiting requests that no longer count."""
        # A permit of exactly the length of a window ago still counts.
        while self.granted_ms and now - self.granted_ms[0] > WINDOW_MS:
            self.granted_ms.popleft()
        for key, until_ms in list(self.waiting_ms.items()):
            if until_ms < now:
                del self.waiting_ms[key]

    def is_preceded(self, rank: int) -> bool:
        """Return whether a request of a lower rank waits."""
        return any(waiting_rank < rank for _, waiting_rank in self.waiting_ms)


class WarmupIssuer:
    """Issues the permits of targets that warm up."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def issue(
        self,
        key: str,
        *,
        host: str,
        rank: int,
        max_permits: int,
        per_s: float | None,
        known_since_ms: float | None,
        now: float,
    ) -> Permit:
        """Return a permit for one request to a cold target, valid at once.

        While a request of a lower rank waits for the next place, it is kept for it.

        Parameters
        ----------
        key : str
            Key of the target.
        host : str
            Host of the instance that asks.
        rank : int
            Rank of the request, lowest first.
        max_permits : int
            Maximum number of permits in a window.
        per_s : float or None
            Limit of requests per second that the target names besides, None for none.
        known_since_ms : float or None
            Time since when this instance knows that the target is cold, None if it
            knows it from the instances that ask only. In milliseconds.
        now : float
            Current time in milliseconds.
        """
        window = self._find_window(key, now)
        window.expire(now)
        if known_since_ms is None:
            known_since_ms = window.first_asked_ms
        quiet_ms = known_since_ms + WINDOW_MS - now
        wait_ms = quiet_ms if quiet_ms >= 0.0 else 0.0
        wait_ms = max(wait_ms, _find_place_wait(window, max_permits, per_s, now))
        if not wait_ms and window.is_preceded(rank):
            wait_ms = YIELD_PAUSE_MS
        if wait_ms or quiet_ms >= 0.0:
            window.waiting_ms[host, rank] = now + wait_ms + RETURN_GRACE_MS
            return Permit(is_granted=False, wait_ms=wait_ms)
        window.waiting_ms.pop((host, rank), None)
        window.granted_ms.append(now)
        return Permit(is_granted=True)

    def _find_window(self, key: str, now: float) -> _Window:
        window = self._windows.get(key)
        if window is None or now - window.asked_ms > RETENTION_MS:
            self._forget_unused(now)
            window = self._windows[key] = _Window(first_asked_ms=now, asked_ms=now)
        window.asked_ms = now
        return window

    def _forget_unused(self, now: float) -> None:
        for key, window in list(self._windows.items()):
            if now - window.asked_ms > RETENTION_MS:
                del self._windows[key]


def _find_place_wait(
    window: _Window, max_permits: int, per_s: float | None, now: float
) -> float:
    """Return the time until a permit fits into the window, in milliseconds."""
    if max_permits < 1:
        return WINDOW_MS
    # Even intervals: after a surge of permits, an important request would find no place
    # for most of a window.
    interval_ms = WINDOW_MS / max_permits
    if per_s is not None:
        # A limit of 0 leaves one permit in a window for the end of the limit to show.
        interval_ms = max(interval_ms, min(WINDOW_MS, 1000.0 / max(per_s, MIN_PER_S)))
    wait_ms = window.granted_ms[-1] + interval_ms - now if window.granted_ms else 0.0
    if len(window.granted_ms) >= max_permits:
        # Beyond the end of the window, where the oldest permit no longer counts.
        oldest_ms = window.granted_ms[len(window.granted_ms) - max_permits]
        wait_ms = max(wait_ms, oldest_ms + WINDOW_MS - now + 1.0)
    return max(0.0, wait_ms)
