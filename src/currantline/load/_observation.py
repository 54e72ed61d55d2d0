"""Results of requests and probes as observations of a target."""

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
        Reported number of requests in flight at the target.
    slots : int
        Reported number of slots.
    state : TargetState
        Reported state.
    """

    in_flight: int
    slots: int
    state: TargetState


@attrs.frozen(kw_only=True)
class Observation:
    """Result of one request to, or probe of, a target.

    Parameters
    ----------
    signal : Signal
        How it ended.
    sent : float
        Time of sending, in milliseconds of the clock.
    report : LoadReport or None
        Load report of the target, if the response had one.
    duration_ms : float or None
        Response time in milliseconds. None for requests whose duration gives no
        information about the target, such as long ones.
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
        """Return the observation for a response to a request."""
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
    """Parse a ``target-load`` header; return None if it is missing or invalid.

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
