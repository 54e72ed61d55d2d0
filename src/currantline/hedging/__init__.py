"""Decides when a second copy of a request is sent, within a limit of the operators."""

from currantline.hedging._limit import (
    HEDGE_LIMIT_VARIABLE,
    HedgeLimit,
    parse_hedge_limit,
)
from currantline.hedging._policy import HedgePolicy, HedgeRefusal, estimate_load
from currantline.hedging._response_times import ResponseTimes

__all__ = [
    "HEDGE_LIMIT_VARIABLE",
    "HedgeLimit",
    "HedgePolicy",
    "HedgeRefusal",
    "ResponseTimes",
    "estimate_load",
    "parse_hedge_limit",
]
