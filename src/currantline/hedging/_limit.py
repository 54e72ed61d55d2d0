"""Limit of the hedges of a service as a share of its requests."""

import re
from collections import deque

from currantline.exceptions import SettingsError

__all__ = ["HEDGE_LIMIT_VARIABLE", "HedgeLimit", "parse_hedge_limit"]

HEDGE_LIMIT_VARIABLE = "CURRANTLINE_HEDGE_LIMIT"

# The conversion to a float also accepts underscores, spaces, "nan" and "inf".
FRACTION_PATTERN = re.compile(r"([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][-+]?[0-9]+)?")


def parse_hedge_limit(text: str | None) -> float | None:
    """Return the hedges per request that the operators allow, None without a limit.

    Parameters
    ----------
    text : str or None
        Value of the environment variable, None if it is not set.

    Raises
    ------
    SettingsError
        If the value is not a fraction from 0 to 1.

    Examples
    --------
    >>> parse_hedge_limit("0.02")
    0.02
    """
    if text is None:
        return None
    share = float(text) if FRACTION_PATTERN.fullmatch(text) else -1.0
    if not 0.0 <= share <= 1.0:
        raise SettingsError(
            f"{text!r:.80} is not a fraction from 0 to 1",
            source="environment",
            path=HEDGE_LIMIT_VARIABLE,
        )
    return share


class HedgeLimit:
    """Limits the hedges of one service at one instance.

    A hedge is allowed at time t if the hedges within (t - w, t], itself included, are
    at most the share of the own requests within (t - w, t], with the window w. There
    is no initial credit.

    Bound: for all times a < b, the hedges within (a, b] are at most the share of the
    own requests within (a - w, b].

    Proof: let t1 be the time of the last hedge within (a, b], t2 that of the last one
    at or before t1 - w, and so on. The windows (ti - w, ti] are disjoint, each hedge
    within (a, b] lies in one of them, and all of them lie within (a - w, b]. In each,
    the hedges are at most the share of the requests, since that held when the hedge at
    ti was allowed and no later hedge lies in the window. The sum gives the bound.

    - With b - a = w: the hedges of a window are at most the share of the requests of
      that window and the one before it.
    - With a before the first request: the hedges since the start are at most the share
      of the requests since the start.

    Both sides are sums over instances, so the bound holds for any set of instances,
    also if they do not know of each other. It is a whole number: an instance with less
    than 1 / share requests in a window sends no hedge.

    Parameters
    ----------
    share : float
        Hedges per request, from 0 to 1.
    window_ms : float
        Length of the sliding window in milliseconds.
    """

    def __init__(self, share: float, window_ms: float) -> None:
        self._share = share
        self._window_ms = window_ms
        self._requests: deque[float] = deque()
        self._hedges: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._requests.append(now)
        self._expire(now)

    def has_room(self, now: float) -> bool:
        """Return whether one more hedge is allowed."""
        self._expire(now)
        return len(self._hedges) + 1 <= self._share * len(self._requests)

    def record_hedge(self, now: float) -> None:
        """Count a hedge, which must be allowed."""
        self._hedges.append(now)

    def _expire(self, now: float) -> None:
        oldest = now - self._window_ms
        for times in (self._requests, self._hedges):
            while times and times[0] <= oldest:
                times.popleft()
