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

WINDOW_MS = 1_000.0

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
    the other to the whole fleet. A part of at least one check a second for each
    instance is divided equally. Of a smaller part, some instances use one check a
    second each, and these differ between targets. The limit holds in every second
    while the instances agree on the members of the fleet.

    Parameters
    ----------
    max_per_s : int
        Maximum number of health checks of one target per second, from all instances.
    """

    def __init__(self, max_per_s: int) -> None:
        self._local_per_s = max(1, int(LOCAL_SHARE * max_per_s))
        self._fleet_per_s = max_per_s - self._local_per_s

    def count_allowed(self, target: Target, position: FleetPosition) -> int:
        """Return how often an instance may probe a target within one second."""
        name = target.name
        if target.published.data_centre == position.data_centre:
            rank, size = position.local_rank, position.local_size
            return _divide(self._local_per_s, name, rank, size)
        return _divide(self._fleet_per_s, name, position.rank, position.size)

    def is_allowed(self, target: Target, position: FleetPosition, now: float) -> bool:
        """Return whether an instance may probe a target now."""
        recent = [sent for sent in target.probe_times_ms if sent > now - WINDOW_MS]
        target.probe_times_ms[:] = recent
        return len(recent) < self.count_allowed(target, position)

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
