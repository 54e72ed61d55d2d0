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
    compute_connection_limit,
)
from currantline.lazy import import_lazily

if TYPE_CHECKING:
    from currantline.forwarding._caller import (
        CallerOptions,
        CallerServer,
        InstanceCallbacks,
    )
    from currantline.forwarding._forwarder import ForwarderOptions, RequestForwarder
    from currantline.forwarding._pool import ConnectionPool
    from currantline.forwarding._progress import Completion

__all__ = [
    "AttemptObservation",
    "AttemptObserver",
    "AttemptResult",
    "CallerOptions",
    "CallerServer",
    "Completion",
    "ConnectionPool",
    "Exchange",
    "ForwarderOptions",
    "InstanceCallbacks",
    "Outcome",
    "Permit",
    "Placement",
    "RequestForwarder",
    "RequestObservation",
    "RequestObserver",
    "RetryBudget",
    "Step",
    "compute_connection_limit",
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
                "InstanceCallbacks",
            ),
            "_forwarder": (
                "RequestForwarder",
                "ForwarderOptions",
            ),
            "_progress": ("Completion",),
            "_pool": ("ConnectionPool",),
        },
    )
