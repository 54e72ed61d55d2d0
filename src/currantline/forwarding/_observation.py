"""What other parts learn of attempts and requests."""

import enum
import re
from typing import Protocol

import attrs

from currantline.configuration import Priority
from currantline.forwarding._outcome import Outcome
from currantline.forwarding._placement import AttemptResult

__all__ = [
    "AttemptObservation",
    "AttemptObserver",
    "RequestObservation",
    "RequestObserver",
    "RetryBudget",
    "TargetLoad",
    "TargetState",
    "parse_target_load",
]

LOAD_PATTERN = re.compile(
    r"in-flight=([0-9]{1,6}), *slots=([0-9]{1,6}), *state=(starting|ready|draining)"
)


class TargetState(enum.Enum):
    """What a target says of itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class TargetLoad:
    """Load that a target reports with an answer.

    Parameters
    ----------
    in_flight : int
        Requests that it works on or holds.
    slots : int
        Requests that it works on at the same time.
    state : TargetState
        What it says of itself.
    """

    in_flight: int
    slots: int
    state: TargetState


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
    load : TargetLoad or None
        Load that came with the answer.
    """

    result: AttemptResult
    sent: float | None
    duration_ms: float
    status: int | None = None
    load: TargetLoad | None = None


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
    own_ms : float
        Part of the duration that was spent neither waiting for a slot nor on
        the target.
    """

    outcome: Outcome | None
    service: str
    priority: Priority
    duration_ms: float
    attempts: int
    own_ms: float


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


def parse_target_load(value: str) -> TargetLoad | None:
    """Return the load in a ``target-load`` header, or None if malformed.

    Examples
    --------
    >>> parse_target_load("in-flight=1, slots=2, state=ready").in_flight
    1
    >>> parse_target_load("in-flight=-1, slots=2, state=ready") is None
    True
    """
    match = LOAD_PATTERN.fullmatch(value)
    if match is None:
        return None
    return TargetLoad(
        in_flight=int(match[1]), slots=int(match[2]), state=TargetState(match[3])
    )
