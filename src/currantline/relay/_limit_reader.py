"""Reads the limit of requests that a target names in its responses."""

from collections.abc import Callable

from currantline.exceptions import InvalidValueError
from currantline.placement import Target, parse_rate_limit
from currantline.relay._names import HeaderNames
from currantline.telemetry import EventLog
from currantline.wire import Response, find_header

__all__ = ["RateLimitReader"]


class RateLimitReader:
    """Reads the limit of requests that a target names in its responses.

    Parameters
    ----------
    names : HeaderNames
        Header names.
    observe : callable
        Called with the target and its limit, None if it names none any more.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        observe: Callable[[Target, float | None], object],
        log: EventLog,
    ) -> None:
        self._names = names
        self._observe = observe
        self._log = log

    def read(self, target: Target, response: Response, *, is_success: bool) -> None:
        """Read the limit that a response of a target names.

        Parameters
        ----------
        target : Target
            Target that sent the response.
        response : Response
            A complete response.
        is_success : bool
            Whether the target executed a request. Only then does a missing header
            mean that there is no limit; rejections and health checks may lack it.
        """
        found = (find_header(response.headers, name) for name in self._names.rate_limit)
        value = next((value for value in found if value is not None), None)
        if value is None:
            if is_success and target.rate_limit.per_s is not None:
                self._observe(target, None)
            return
        try:
            self._observe(target, parse_rate_limit(value))
        except InvalidValueError as error:
            self._log.write("limit_refused", target=target.name, reason=str(error))
