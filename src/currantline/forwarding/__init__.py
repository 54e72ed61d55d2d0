"""HTTP towards callers and targets, and the outcome of each request."""

from currantline.forwarding._caller import CallerOptions, CallerServer, Guidance
from currantline.forwarding._carrier import Carrier, CarrierOptions
from currantline.forwarding._exchange import Exchange, Step
from currantline.forwarding._observation import (
    AttemptObservation,
    AttemptObserver,
    RequestObservation,
    RequestObserver,
    RetryBudget,
)
from currantline.forwarding._outcome import Outcome
from currantline.forwarding._placement import (
    AttemptResult,
    Permit,
    Placement,
    share_connections,
)
from currantline.forwarding._progress import Completion
from currantline.forwarding._target import ConnectionPool

__all__ = [
    "AttemptObservation",
    "AttemptObserver",
    "AttemptResult",
    "CallerOptions",
    "CallerServer",
    "Carrier",
    "CarrierOptions",
    "Completion",
    "ConnectionPool",
    "Exchange",
    "Guidance",
    "Outcome",
    "Permit",
    "Placement",
    "RequestObservation",
    "RequestObserver",
    "RetryBudget",
    "Step",
    "share_connections",
]
