"""Time that a caller states it will wait."""

import math

__all__ = ["parse_time_left"]


def parse_time_left(stated: str | None, default_ms: float) -> float:
    """Return how long a caller waits in milliseconds, the default if it is not stated.

    Examples
    --------
    >>> [parse_time_left(stated, 7.0) for stated in ("1500", None, "soon", "inf")]
    [1500.0, 7.0, 7.0, 7.0]
    """
    try:
        time_left_ms = float(stated) if stated is not None else default_ms
    except ValueError:
        return default_ms
    return time_left_ms if math.isfinite(time_left_ms) else default_ms
