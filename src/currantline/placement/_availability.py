"""Whether a target may get a request now, and if not, from when and why.

The selection, the probes, retries, hedges and waiting requests all ask here. What only
makes a target less preferable, such as recent failures, is part of its predicted
response time and of the choice of the targets to probe.
"""

import enum
import math
from collections import Counter
from collections.abc import Collection

import attrs

from currantline.placement._target import Target

__all__ = [
    "Unavailability",
    "UnavailabilityReason",
    "describe_unavailability",
    "find_next_available_ms",
    "find_pause",
    "find_unavailability",
]


class UnavailabilityReason(enum.Enum):
    """Why a target may get no request."""

    # Its data centre is evacuated.
    EVACUATED = "evacuated"
    # It is published as such.
    DRAINING = "draining"
    # A response of it said so.
    LEAVING = "leaving"
    # Another target responds at its address.
    REPLACED = "replaced"
    # It asked for silence, which has not ended.
    SILENCE = "silent"
    # The fleet has no permit left within the limit that it names.
    NO_PERMIT = "without permit"
    # It was full, or a health check or connection failed.
    PAUSED = "paused"


@attrs.frozen
class Unavailability:
    """A time during which a target may get no request.

    Parameters
    ----------
    reason : UnavailabilityReason
        Why it may get none.
    until_ms : float
        End of that time in milliseconds, infinite if none is known.
    """

    reason: UnavailabilityReason
    until_ms: float = math.inf


def find_unavailability(target: Target, now: float) -> Unavailability | None:
    """Return why a target may get no request or health check at all now, or None.

    Parameters
    ----------
    target : Target
        The target.
    now : float
        Current time in milliseconds.
    """
    if target.is_evacuated:
        return Unavailability(UnavailabilityReason.EVACUATED)
    if target.published.is_draining:
        return Unavailability(UnavailabilityReason.DRAINING)
    if target.stated.is_leaving:
        return Unavailability(UnavailabilityReason.LEAVING)
    if target.is_address_reused:
        return Unavailability(UnavailabilityReason.REPLACED)
    until_ms = target.stated.silent_until_ms
    if now < until_ms:
        return Unavailability(UnavailabilityReason.SILENCE, until_ms)
    return None


def find_pause(target: Target, now: float) -> Unavailability | None:
    """Return why an available target should not be tried for the moment, or None.

    Parameters
    ----------
    target : Target
        The target.
    now : float
        Current time in milliseconds.
    """
    if target.is_rate_limited:
        reason, until_ms = UnavailabilityReason.NO_PERMIT, target.next_permit_ms
    else:
        reason, until_ms = UnavailabilityReason.PAUSED, target.skip_until_ms
    return Unavailability(reason, until_ms) if now < until_ms else None


def find_next_available_ms(targets: Collection[Target], now: float) -> float:
    """Return when the first of some targets may get a request.

    Parameters
    ----------
    targets : collection of Target
        The published targets of a service.
    now : float
        Current time in milliseconds.

    Returns
    -------
    float
        Time in milliseconds, `now` if one may get it already, infinite if none will.
    """
    found = (find_unavailability(target, now) for target in targets)
    return min((now if u is None else u.until_ms for u in found), default=math.inf)


def describe_unavailability(targets: Collection[Target], now: float) -> str:
    """Return for logs and callers why none of some targets may get a request.

    Parameters
    ----------
    targets : collection of Target
        The published targets of a service.
    now : float
        Current time in milliseconds.
    """
    found = [find_unavailability(target, now) for target in targets]
    reasons = Counter(u.reason for u in found if u is not None)
    if len(reasons) == 1 and UnavailabilityReason.SILENCE in reasons:
        return "all targets asked for silence"
    counts = [f"{reasons[r]} {r.value}" for r in UnavailabilityReason if r in reasons]
    return f"no target: {', '.join(counts)}" if counts else "no target"
