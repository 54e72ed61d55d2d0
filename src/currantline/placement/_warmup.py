"""Bound on the requests to a target that warms up, and what is said of its warm-up."""

import math

import attrs

from currantline.exceptions import InvalidValueError
from currantline.validators import check_not_negative, parse_amount

__all__ = ["WarmupBound", "WarmupTerms", "parse_warmup"]


@attrs.frozen(kw_only=True)
class WarmupBound:
    """Bound on the requests to a cold target of one service.

    Parameters
    ----------
    warmup_ms : float
        Maximum duration of a warm-up in milliseconds.
    max_per_s : float
        Maximum number of requests to a cold target in any second, from all instances.
    """

    warmup_ms: float
    max_per_s: float

    @property
    def permits_per_issuer(self) -> int:
        """Permits that one issuer may grant in a window, half of the bound.

        Instances may hold two views of the fleet, each with an issuer of its own.
        """
        return math.floor(self.max_per_s / 2)


@attrs.frozen(kw_only=True)
class WarmupTerms:
    """Terms by which the bound follows from the rate that a cold target tolerates.

    Parameters
    ----------
    overrun : float
        Tolerated multiple of the rate.
    slack : float
        Further requests in any second.
    """

    overrun: float = attrs.field(validator=check_not_negative)
    slack: float = attrs.field(validator=check_not_negative)

    def make_bound(self, warmup_ms: float, per_s: float) -> WarmupBound:
        """Return the bound of a service.

        Examples
        --------
        >>> terms = WarmupTerms(overrun=1.5, slack=8.0)
        >>> bound = terms.make_bound(3_000.0, 2.0)
        >>> bound.max_per_s, bound.permits_per_issuer
        (11.0, 5)
        """
        return WarmupBound(
            warmup_ms=warmup_ms, max_per_s=per_s * self.overrun + self.slack
        )


def parse_warmup(value: str) -> float:
    """Return the remaining warm-up time in milliseconds that a header names.

    Raises
    ------
    InvalidValueError
        If the value is not a finite number of at least 0.

    Examples
    --------
    >>> parse_warmup("1500")
    1500.0
    """
    try:
        return parse_amount(value)
    except InvalidValueError as error:
        raise InvalidValueError(f"invalid warm-up time: {error.message}") from error
