"""Weight of an instance: the share of the callers that it should get.

Handles a fleet of unequal machines at peak load. If all instances got as many callers,
the thin links of the small ones would fill while the large ones are mostly idle, and
every request there would wait behind the bodies of others.
"""

__all__ = ["DEFAULT_WEIGHT", "MAX_WEIGHT", "find_weight"]

DEFAULT_WEIGHT = 1

# Bounds the callers that lose their instance at once if a large machine fails.
MAX_WEIGHT = 8

# Capacity that corresponds to the default weight, in requests per second.
REQUESTS_PER_WEIGHT = 80.0

# Processor time of a request with its health checks, in seconds.
CPU_S_PER_REQUEST = 0.005

# Bytes of a request with its health checks in each direction, on average over kinds
# with and without large bodies.
BYTES_PER_REQUEST = 8_000.0


def find_weight(cores: float, link_bytes_per_s: float) -> int:
    """Return the weight of an instance, from whichever resource limits it.

    Parameters
    ----------
    cores : float
        Processor time per second that the instance may use.
    link_bytes_per_s : float
        Bytes per second that its link carries in each direction.

    Examples
    --------
    >>> find_weight(0.43, 625_000.0), find_weight(2.15, 12_500_000.0)
    (1, 5)
    """
    capacity = min(cores / CPU_S_PER_REQUEST, link_bytes_per_s / BYTES_PER_REQUEST)
    weight = round(min(capacity / REQUESTS_PER_WEIGHT, MAX_WEIGHT))
    return max(DEFAULT_WEIGHT, weight)
