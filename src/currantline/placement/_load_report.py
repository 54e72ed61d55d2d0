"""Load that a target reports in a health check."""

import attrs

from currantline.exceptions import InvalidValueError

__all__ = ["LoadReport", "parse_load_header"]


# Maximum of all numbers in a load header. Larger ones would overflow in predictions.
MAX_LOAD_VALUE = 1_000_000


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load and health of a target at one moment.

    Parameters
    ----------
    running : int
        Number of requests being processed.
    waiting : int
        Number of queued requests.
    slots : int
        Maximum number of requests processed concurrently.
    slowness : float
        Current processing time on its host relative to the normal one.
    requested_ms : float
        Time at which the health check was sent, in milliseconds.
    took_ms : float
        Time from the health check to the response, in milliseconds.
    is_healthy : bool
        Whether the target considers itself healthy.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
    requested_ms: float
    took_ms: float = 0.0
    is_healthy: bool = True


def parse_load_header(value: str) -> tuple[int, int, int, float]:
    """Return running, waiting, slots and slowness from a load header.

    Raises
    ------
    InvalidValueError
        If the value is not a list of three or four integers in range.

    Examples
    --------
    >>> parse_load_header("3,0,8,150")
    (3, 0, 8, 1.5)
    """
    try:
        running, waiting, slots, *rest = (int(part) for part in value.split(","))
    except ValueError as error:
        raise InvalidValueError(
            f"invalid load header {value!r}: three or four integers expected"
        ) from error
    if any(not 0 <= n <= MAX_LOAD_VALUE for n in (running, waiting, slots, *rest)):
        raise InvalidValueError(f"invalid load header {value!r}: out of range")
    return running, waiting, max(1, slots), max(1, rest[0]) / 100 if rest else 1.0
