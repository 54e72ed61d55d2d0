"""Recent response times of a route."""

import math
from collections import deque

__all__ = ["ResponseTimes"]

# Number of response times that are kept. An instance of a large fleet gets about one
# request a second, so these are some minutes. They take 9.5 KB for each route.
MAX_SAMPLES = 200

# Number from which quantiles are used: two samples lie above the 0.95 quantile of 50.
MIN_SAMPLES = 50


class ResponseTimes:
    """Quantiles of the latest response times of a route.

    They are kept as such instead of in a histogram: there are too few of them for a
    histogram to take less memory, and they need no separate rule by which old ones
    lose their weight.
    """

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._ordered: list[float] = []

    def record(self, took_ms: float) -> None:
        """Record a response time in milliseconds."""
        self._samples.append(took_ms)
        self._ordered = []

    def find_quantile(self, share: float) -> float | None:
        """Return a quantile (nearest rank) in milliseconds, None while it is unknown.

        Parameters
        ----------
        share : float
            Share of the response times that are at most the quantile.
        """
        if len(self._samples) < MIN_SAMPLES:
            return None
        if not self._ordered:
            self._ordered = sorted(self._samples)
        return self._ordered[max(0, math.ceil(share * len(self._ordered)) - 1)]
