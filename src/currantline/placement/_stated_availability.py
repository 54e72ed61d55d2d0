"""What one start of a target has said of its availability in its responses."""

import attrs

__all__ = ["StatedAvailability"]


@attrs.define(eq=False)
class StatedAvailability:
    """What one start of a target has said of its availability.

    It belongs to the start and not to the entry or the address, so it is kept while the
    entry is removed and published again.

    Parameters
    ----------
    is_leaving : bool
        Whether a response said that the target leaves.
    silent_until_ms : float
        Time until which the target asked this instance for silence, in milliseconds.
    """

    is_leaving: bool = False
    silent_until_ms: float = 0.0
