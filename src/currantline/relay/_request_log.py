"""Log lines and metrics of completed requests."""

from currantline.clock import Clock
from currantline.relay._names import HeaderNames
from currantline.relay._progress import Progress
from currantline.telemetry import EventLog, Meter
from currantline.wire import Request, Response, find_header

__all__ = ["RequestLog"]


class RequestLog:
    """Logs and counts requests with their results.

    Parameters
    ----------
    names : HeaderNames
        Header names.
    clock : Clock
        Source of time.
    meter : Meter
        Counts requests.
    log : EventLog
        Log of events.
    """

    def __init__(
        self, *, names: HeaderNames, clock: Clock, meter: Meter, log: EventLog
    ) -> None:
        self._names = names
        self._clock = clock
        self._meter = meter
        self._log = log

    def write_unrouted(
        self, request: Request, status: int, reason: str, *, version: int = 0
    ) -> None:
        """Log a request that could not be routed."""
        request_id = find_header(request.headers, self._names.request_id) or ""
        self._meter.count("requests", status=str(status))
        self._log.write(
            "request",
            request_id=request_id,
            status=status,
            reason=reason,
            version=version,
        )

    def write(self, progress: Progress, response: Response, version: int) -> None:
        """Log a request with its response.

        Parameters
        ----------
        progress : Progress
            The request and its sends.
        response : Response
            Response that the caller gets.
        version : int
            Version of the configuration that the request was routed by.
        """
        context = progress.context
        took_ms = self._clock.read() - context.arrived_ms
        self._meter.count("requests", status=str(response.status))
        self._meter.observe("request_ms", took_ms, service=context.service.name)
        self._log.write(
            "request",
            request_id=context.request_id,
            status=response.status,
            route=context.route.name,
            service=context.service.name,
            version=version,
            took_ms=round(took_ms, 1),
            left_ms=round(context.deadline_ms - context.arrived_ms),
            reason=progress.refusal_reason,
            sends=[
                [r.target, r.outcome.value, round(r.took_ms, 1), r.reason]
                for r in progress.results
            ],
            tried=sorted(progress.tried),
        )
