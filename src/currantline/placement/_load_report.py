"""What a target says of its load at one moment."""

import attrs

from currantline.exceptions import InvalidValueError

__all__ = ["LoadReport", "parse_load_header"]


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of a target as it reported it.

    Parameters
    ----------
    running : int
        Requests that it works on.
    waiting : int
        Requests in its queue.
    slots : int
        Requests that it works on at the same time.
    slowness : float
        How long work takes on its host now, relative to the usual.
    requested_ms : float
        Time at which the request for this reading was sent, in milliseconds.
    took_ms : float
        Time until the answer, in milliseconds.
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
    """Return running, waiting, slots and slowness of a load header.

    Raises
    ------
    InvalidValueError
        If the value is not three or four numbers.

    Examples
    --------
    >>> parse_load_header("3,0,8,150")
    (3, 0, 8, 1.5)
    """
    try:
        running, waiting, slots, *rest = (int(part) for part in value.split(","))
    except ValueError as error:
        raise InvalidValueError(f"{value!r} is not a load") from error
    return running, waiting, max(1, slots), max(1, rest[0]) / 100 if rest else 1.0
