"""Limit of health checks per target, kept by each instance without coordination.

A health check occupies a target for some milliseconds. During a surge every instance
searches for free slots at once, and the checks of the whole fleet would take the
capacity that the waiting requests need.
"""

import math
import zlib

import attrs

from currantline.placement._target import Target

__all__ = ["FleetPosition", "ProbeLimit"]

WINDOW_MS = 1_000.0

# Fraction of the fleet by which the positions of neighbouring instances are spread, so
# that the instances of one data centre probe different targets.
POSITION_STRIDE = 0.618


@attrs.frozen(kw_only=True)
class FleetPosition:
    """Position of an instance in the fleet.

    Parameters
    ----------
    rank : int
        Number of instances that precede this one in the order of their hosts.
    size : int
        Number of instances of the fleet.
    """

    rank: int = 0
    size: int = 1


class ProbeLimit:
    """Keeps the health checks of a target within a limit for the whole fleet.

    In a fleet of at most `max_per_s` instances, each instance uses an equal, whole
    part of the limit for every target. In a larger one, each target is probed once a
    second by `max_per_s` of the instances, which differ between targets. The limit
    holds in every second while the instances agree on the size of the fleet.

    Parameters
    ----------
    max_per_s : int
        Maximum number of health checks of one target per second, from all instances.
    """

    def __init__(self, max_per_s: int) -> None:
        self._max_per_s = max_per_s

    def count_allowed(self, target: str, position: FleetPosition) -> int:
        """Return how often an instance may probe a target within one second.

        Examples
        --------
        >>> ProbeLimit(60).count_allowed("t", FleetPosition(rank=3, size=16))
        3
        >>> fleet = [FleetPosition(rank=rank, size=94) for rank in range(94)]
        >>> sum(ProbeLimit(42).count_allowed("t", each) for each in fleet)
        42
        """
        equal_part = self._max_per_s // position.size
        if equal_part:
            return equal_part
        offset = zlib.crc32(target.encode())
        place = (position.rank * _find_stride(position.size) + offset) % position.size
        return int(place < self._max_per_s)

    def is_allowed(self, target: Target, position: FleetPosition, now: float) -> bool:
        """Return whether an instance may probe a target now."""
        recent = [sent for sent in target.probe_times_ms if sent > now - WINDOW_MS]
        target.probe_times_ms[:] = recent
        return len(recent) < self.count_allowed(target.name, position)

    def record(self, target: Target, now: float) -> None:
        """Count a health check of a target."""
        target.probe_times_ms.append(now)


def _find_stride(size: int) -> int:
    stride = max(1, round(POSITION_STRIDE * size))
    while math.gcd(stride, size) > 1:
        stride += 1
    return stride
