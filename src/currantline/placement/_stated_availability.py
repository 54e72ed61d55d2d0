"""What one start of a target has said of its availability in its responses."""

import math

import attrs

__all__ = ["StatedAvailability"]


@attrs.define(eq=False)
class StatedAvailability:
    """What one start of a target has said of its availability and warm-up.

    It belongs to the start and not to the entry or the address, so it is kept while the
    entry is removed and published again.

    Parameters
    ----------
    is_leaving : bool
        Whether a response said that the target leaves.
    silent_until_ms : float
        Time until which the target asked this instance for silence, in milliseconds.
    warmup_end_ms : float
        End of the warm-up that a health response named, to this instance or to
        another one, in milliseconds.
    cold_since_ms : float
        Time at which this instance learned of the latest warm-up, in milliseconds.
    warmup_learned_ms : float
        Time at which it last learned of any warm-up, in milliseconds.
    """

    is_leaving: bool = False
    silent_until_ms: float = 0.0
    warmup_end_ms: float = -math.inf
    cold_since_ms: float = -math.inf
    warmup_learned_ms: float = -math.inf
