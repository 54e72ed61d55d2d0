"""Reads from health responses for how long a target warms up."""

from collections.abc import Callable

from currantline.exceptions import InvalidValueError
from currantline.placement import Target, parse_warmup
from currantline.relay._names import HeaderNames
from currantline.telemetry import EventLog
from currantline.wire import Response, find_header

__all__ = ["WarmupReader"]

OK = 200


class WarmupReader:
    """Reads from health responses for how long a target warms up.

    Parameters
    ----------
    names : HeaderNames
        Header names.
    observe : callable
        Called with the target, its remaining warm-up time in milliseconds, None if the
        response names none, and the time at which the health check was sent.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        observe: Callable[[Target, float | None, float], object],
        log: EventLog,
    ) -> None:
        self._names = names
        self._observe = observe
        self._log = log

    def read(self, target: Target, response: Response, requested_ms: float) -> None:
        """Read a health response of a target whose service bounds warm-ups.

        Parameters
        ----------
        target : Target
            Target that sent the response.
        response : Response
            The response.
        requested_ms : float
            Time at which the health check was sent, in milliseconds.
        """
        if target.warmup_bound is None:
            return
        value = find_header(response.headers, self._names.warmup)
        if value is None:
            # An unhealthy target may leave out what it says otherwise.
            if response.status == OK:
                self._observe(target, None, requested_ms)
            return
        try:
            self._observe(target, parse_warmup(value), requested_ms)
        except InvalidValueError as error:
            self._log.write("warmup_refused", target=target.name, reason=str(error))
