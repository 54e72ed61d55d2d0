"""Whether a target may get a request now, and if not, from when and why."""

import enum
import math

import attrs

from currantline.placement._target import Target

__all__ = ["Unavailability", "UnavailabilityReason", "find_unavailability"]


class UnavailabilityReason(enum.Enum):
    """Why a target may get no request."""

    DRAINING = "it is published as draining"
    LEAVING = "it said that it leaves"
    REPLACED = "another target responds at its address"
    SILENCE = "it asked for silence"


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
    """Return why a target may get no request or health check now, or None.

    Parameters
    ----------
    target : Target
        The target.
    now : float
        Current time in milliseconds.
    """
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
