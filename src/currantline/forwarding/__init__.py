"""HTTP towards callers and targets, and the outcome of each request."""

from typing import TYPE_CHECKING

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
from currantline.lazy import import_lazily

if TYPE_CHECKING:
    from currantline.forwarding._caller import CallerOptions, CallerServer, Guidance
    from currantline.forwarding._carrier import Carrier, CarrierOptions
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

# Tasks and sockets are imported on first use, so that the decision cores of the
# slice can be used without them. With a `__getattr__`, mypy would accept any name.
if not TYPE_CHECKING:
    __getattr__ = import_lazily(
        __name__,
        {
            "_caller": (
                "CallerOptions",
                "CallerServer",
                "Guidance",
            ),
            "_carrier": (
                "Carrier",
                "CarrierOptions",
            ),
            "_progress": ("Completion",),
            "_target": ("ConnectionPool",),
        },
    )
