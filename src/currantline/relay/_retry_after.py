"""Decides when the caller of a refused request should retry.

Handles overload, when many requests are refused at the same time: their callers must
not return together, nor before they can be served.
"""

__all__ = ["UNREADY_RETRY_AFTER_MS", "find_retry_after_bounds_ms"]

# Range of Retry-After while the instance has no configuration yet, in milliseconds. An
# instance gets it within some tens of milliseconds.
UNREADY_RETRY_AFTER_MS = (500.0, 1_500.0)

# Range of Retry-After for refused requests, as shares of the caller's remaining time.
# The value is random so that refused callers do not retry together. Callers honour up
# to a third of their remaining time.
RETRY_AFTER_SHARES = (0.15, 0.33)

# The same for requests that targets with free slots rejected, as shares of the latency
# objective. A retry may succeed immediately.
REJECTED_RETRY_AFTER_SHARES = (0.0, 0.05)

# Maximum for requests refused until a known time, as a share of the time until then. It
# is at least that of the first range, since others may be served at that time.
KNOWN_RETRY_AFTER_SHARE = 1.25


def find_retry_after_bounds_ms(
    *, left_ms: float, until_known_ms: float = 0.0, rejected_objective_ms: float = 0.0
) -> tuple[float, float]:
    """Return the range from which the Retry-After of a refusal is drawn.

    Parameters
    ----------
    left_ms : float
        Time until the caller stops waiting, in milliseconds.
    until_known_ms : float
        Time after which the caller may be served, 0 if unknown, in milliseconds.
    rejected_objective_ms : float
        Latency objective if targets with free slots rejected the request, otherwise 0,
        in milliseconds.

    Returns
    -------
    tuple of float
        Minimum and maximum in milliseconds.

    Examples
    --------
    >>> find_retry_after_bounds_ms(left_ms=1_000.0)
    (150.0, 330.0)
    >>> find_retry_after_bounds_ms(left_ms=1_000.0, until_known_ms=100.0)
    (100.0, 330.0)
    >>> find_retry_after_bounds_ms(left_ms=1_000.0, until_known_ms=400.0)
    (400.0, 500.0)
    """
    earliest, latest = RETRY_AFTER_SHARES
    if until_known_ms:
        latest_known_ms = KNOWN_RETRY_AFTER_SHARE * until_known_ms
        return until_known_ms, max(latest_known_ms, latest * left_ms)
    if rejected_objective_ms:
        earliest, latest = REJECTED_RETRY_AFTER_SHARES
        return earliest * rejected_objective_ms, latest * rejected_objective_ms
    return earliest * left_ms, latest * left_ms
