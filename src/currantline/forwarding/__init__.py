"""HTTP towards callers and targets, and the outcome of each request."""

from currantline.forwarding._caller import CallerServer, Guidance
from currantline.forwarding._carrier import Carrier, Completion
from currantline.forwarding._exchange import Exchange, Step
from currantline.forwarding._outcome import Outcome
from currantline.forwarding._placement import AttemptResult, Permit, Placement
from currantline.forwarding._target import ConnectionPool

__all__ = [
    "AttemptResult",
    "CallerServer",
    "Carrier",
    "Completion",
    "ConnectionPool",
    "Exchange",
    "Guidance",
    "Outcome",
    "Permit",
    "Placement",
    "Step",
]
