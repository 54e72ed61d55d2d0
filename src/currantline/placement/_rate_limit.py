"""Limit of requests per second that a target names for the whole fleet."""

import math

import attrs

from currantline.exceptions import InvalidValueError
from currantline.validators import parse_amount

__all__ = ["RateLimit", "parse_rate_limit"]


@attrs.frozen
class RateLimit:
    """What a target last said about its limit.

    Parameters
    ----------
    per_s : float or None
        Requests per second that it takes from all instances together, None if it names
        no limit.
    observed_ms : float
        Time at which the response that says so arrived, in milliseconds.
    """

    per_s: float | None = None
    observed_ms: float = -math.inf

    def replaces(self, other: "RateLimit") -> bool:
        """Return whether this is more recent."""
        return self.observed_ms > other.observed_ms


def parse_rate_limit(value: str) -> float:
    """Return the requests per second that a header names.

    Raises
    ------
    InvalidValueError
        If the value is not a finite number of at least 0.

    Examples
    --------
    >>> parse_rate_limit("2.9")
    2.9
    """
    try:
        return parse_amount(value)
    except InvalidValueError as error:
        raise InvalidValueError(f"invalid limit: {error.message}") from error
