"""What other parts learn of attempts and requests."""

from typing import Protocol

import attrs

from currantline.configuration import Priority
from currantline.forwarding._outcome import Outcome
from currantline.forwarding._placement import AttemptResult
from currantline.load import LoadReport

__all__ = [
    "AttemptObservation",
    "AttemptObserver",
    "RequestObservation",
    "RequestObserver",
    "RetryBudget",
]


@attrs.frozen(kw_only=True)
class AttemptObservation:
    """How one use of a target ended.

    Parameters
    ----------
    result : AttemptResult
        How it ended.
    sent : float or None
        Time of the first byte, in milliseconds of the clock; None if nothing
        was sent.
    duration_ms : float
        Time from the first byte, or from the attempt to connect, to the end.
    status : int or None
        Status of the answer, if there was one.
    load : LoadReport or None
        Load that came with the answer.
    is_long : bool
        Whether the request was expected to run long.
    """

    result: AttemptResult
    sent: float | None
    duration_ms: float
    status: int | None = None
    load: LoadReport | None = None
    is_long: bool = False


@attrs.frozen(kw_only=True)
class RequestObservation:
    """How one request ended.

    Parameters
    ----------
    outcome : Outcome or None
        The outcome; None if the caller left before it was known.
    service : str
        Name of the service.
    priority : Priority
        Priority class of the route.
    duration_ms : float
        Time from the request's arrival to its end.
    attempts : int
        How often it was sent.
    waited_ms : float
        Time spent waiting for slots.
    is_long : bool
        Whether it was expected to run long when it was sent.
    overhead_ms : float
        Part of the duration that was spent neither waiting for a slot nor on
        the target.
    """

    outcome: Outcome | None
    service: str
    priority: Priority
    duration_ms: float
    attempts: int
    overhead_ms: float
    waited_ms: float = 0.0
    is_long: bool = False


class AttemptObserver(Protocol):
    """Part that learns of targets from attempts."""

    def observe(self, target: str, observation: AttemptObservation) -> None:
        """Take note of an attempt."""
        ...


class RequestObserver(Protocol):
    """Part that counts requests."""

    def observe_request(self, observation: RequestObservation) -> None:
        """Take note of a request."""
        ...


class RetryBudget(Protocol):
    """Limit on retries of one service."""

    def record_attempt(self, now: float) -> None:
        """Count a first attempt."""
        ...

    def spend(self, now: float) -> bool:
        """Take the right to one retry, if there is one."""
        ...
