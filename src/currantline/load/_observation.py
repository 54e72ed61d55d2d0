"""What one request or probe told about a target."""

import enum
import re
from collections.abc import Iterable

import attrs

__all__ = ["LoadReport", "Observation", "Signal", "TargetState", "parse_load"]

LOAD_HEADER = "target-load"
SHED_HEADER = "target-shed"
FIRST_SERVER_ERROR = 500
LOAD_PATTERN = re.compile(
    r"in-flight=(\d{1,9}), *slots=(\d{1,9}), *state=(starting|ready|draining)"
)


class TargetState(enum.Enum):
    """State of a target."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    UNKNOWN = "unknown"


class Signal(enum.Enum):
    """How a request or a probe ended."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    PROBED = "probed"
    PROBE_FAILED = "probe-failed"


@attrs.frozen(kw_only=True)
class LoadReport:
    """Value of a ``target-load`` header.

    Parameters
    ----------
    in_flight : int
        Requests that the target says it has.
    slots : int
        Slots that the target says it has.
    state : TargetState
        State that the target says it is in.
    """

    in_flight: int
    slots: int
    state: TargetState


@attrs.frozen(kw_only=True)
class Observation:
    """What one request or probe told about a target.

    Parameters
    ----------
    signal : Signal
        How it ended.
    sent : float
        Time at which it was sent, in milliseconds of the clock.
    report : LoadReport or None
        What the target said of itself.
    duration_ms : float or None
        Response time. None for requests of a length that says nothing about the
        target, such as long ones.
    """

    signal: Signal
    sent: float
    report: LoadReport | None = None
    duration_ms: float | None = None

    @classmethod
    def from_response(
        cls,
        status: int,
        headers: Iterable[tuple[str, str]],
        *,
        sent: float,
        duration_ms: float | None = None,
    ) -> "Observation":
        """Return the observation that an answer to a request makes."""
        values = dict(headers)
        if values.get(SHED_HEADER) == "1":
            signal = Signal.SHED
        elif status >= FIRST_SERVER_ERROR:
            signal = Signal.FAILED
        else:
            signal = Signal.ANSWERED
        return cls(
            signal=signal,
            sent=sent,
            report=parse_load(values.get(LOAD_HEADER)),
            duration_ms=duration_ms,
        )


def parse_load(value: str | None) -> LoadReport | None:
    """Return the content of a ``target-load`` header, or None if it is not valid.

    Examples
    --------
    >>> parse_load("in-flight=1, slots=2, state=ready").slots
    2
    >>> parse_load("in-flight=many") is None
    True
    """
    match = LOAD_PATTERN.fullmatch(value.strip()) if value else None
    if match is None:
        return None
    return LoadReport(
        in_flight=int(match[1]), slots=int(match[2]), state=TargetState(match[3])
    )
