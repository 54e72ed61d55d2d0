"""Limit of health checks per target, kept by each instance without coordination.

A health check occupies a target for some milliseconds. During a surge every instance
searches for free slots at once, and the checks of the whole fleet would take the
capacity that the waiting requests need.
"""

import functools
import math
import zlib

import attrs

from currantline.placement._target import Target

__all__ = ["FleetPosition", "ProbeLimit"]

# Window in which the limit holds. Within it, an instance may save checks for a surge:
# with a window of one second, ksp-gateway served 7% less of its highest load in time.
WINDOW_S = 10

# Fraction of the fleet by which the positions of neighbouring instances are spread, so
# that the instances of one data centre probe different targets.
POSITION_STRIDE = 0.618


# Share of the limit that the instances in the data centre of the target use. They send
# it most of its requests, since others only need it while their own targets are full.
LOCAL_SHARE = 0.8


@attrs.frozen(kw_only=True)
class FleetPosition:
    """Position of an instance in the fleet and in its data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of the instance.
    rank : int
        Number of instances that precede this one in the order of their hosts.
    size : int
        Number of instances of the fleet.
    local_rank : int
        The same as `rank` within the data centre.
    local_size : int
        Number of instances of the data centre.
    """

    data_centre: str
    rank: int = 0
    size: int = 1
    local_rank: int = 0
    local_size: int = 1


class ProbeLimit:
    """Keeps the health checks of a target within a limit for the whole fleet.

    One part of the limit belongs to the instances in the data centre of the target,
    the other to the whole fleet. Each is divided equally among its instances; if there
    is less than one check a window for each, some instances get one, and these differ
    between targets. The limit holds in every window of 10 s while the instances agree
    on the members of the fleet.

    Parameters
    ----------
    max_per_s : int
        Maximum number of health checks of one target per second, from all instances.
    """

    def __init__(self, max_per_s: int) -> None:
        self._local_part = max(1, int(LOCAL_SHARE * max_per_s * WINDOW_S))
        self._fleet_part = max_per_s * WINDOW_S - self._local_part

    def count_allowed(self, target: Target, position: FleetPosition) -> int:
        """Return how often an instance may probe a target within one window."""
        name = target.name
        if target.published.data_centre == position.data_centre:
            rank, size = position.local_rank, position.local_size
            return _divide(self._local_part, name, rank, size)
        return _divide(self._fleet_part, name, position.rank, position.size)

    def is_allowed(self, target: Target, position: FleetPosition, now: float) -> bool:
        """Return whether an instance may probe a target now."""
        times = target.probe_times_ms
        while times and times[0] <= now - 1_000.0 * WINDOW_S:
            times.popleft()
        return len(times) < self.count_allowed(target, position)

    def record(self, target: Target, now: float) -> None:
        """Count a health check of a target."""
        target.probe_times_ms.append(now)


def _divide(total: int, target: str, rank: int, size: int) -> int:
    """Return the part of one of `size` instances in a whole number.

    Examples
    --------
    >>> [_divide(48, "t", rank, 6) for rank in range(6)]
    [8, 8, 8, 8, 8, 8]
    >>> sum(_divide(33, "t", rank, 94) for rank in range(94))
    33
    """
    equal_part = total // size
    if equal_part:
        return equal_part
    offset = zlib.crc32(target.encode())
    return int((rank * _find_stride(size) + offset) % size < total)


@functools.cache
def _find_stride(size: int) -> int:
    stride = max(1, round(POSITION_STRIDE * size))
    while math.gcd(stride, size) > 1:
        stride += 1
    return stride
