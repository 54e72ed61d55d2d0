"""HTTP interface for operators."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs
from prometheus_client import CONTENT_TYPE_LATEST

from currantline.load import TargetStatus
from currantline.operator._metrics import Metrics
from currantline.wire import HttpServer, Request, Response, json_response

__all__ = ["OperatorService", "OperatorSources", "Readiness"]

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
UNAVAILABLE = 503
MAX_AFTER = 2**63 - 1
MS_DIGITS = 1


@attrs.frozen(kw_only=True)
class Readiness:
    """Whether the instance is ready for requests.

    Parameters
    ----------
    is_ready : bool
        Whether the instance is ready.
    reason : str
        Why it is not ready; empty if it is.
    """

    is_ready: bool
    reason: str = ""


@attrs.frozen(kw_only=True)
class OperatorSources:
    """Data sources of the operator interface; all return JSON-serializable values.

    Parameters
    ----------
    instance : str
        Name of the instance.
    read_readiness : callable
        Returns the readiness with a reason.
    read_version, read_sequence : callable
        Return the configuration version in force and the highest sequence number
        seen.
    read_queues : callable
        Returns a summary of the queue of each service.
    read_targets : callable
        Returns the known status of each target.
    read_view : callable
        Returns the rows of the view, one mapping for each instance.
    read_lease : callable
        Returns the state of the lease.
    read_audit : callable
        Returns the audit events after an event number.
    refresh : callable
        Updates gauges before metrics are rendered.
    """

    instance: str
    read_readiness: Callable[[], Readiness]
    read_version: Callable[[], int]
    read_sequence: Callable[[], int]
    read_queues: Callable[[], Mapping[str, Any]]
    read_targets: Callable[[], Iterable[TargetStatus]]
    read_view: Callable[[], Iterable[Mapping[str, Any]]]
    read_lease: Callable[[], Mapping[str, Any]]
    read_audit: Callable[[int], Iterable[Mapping[str, Any]]]
    refresh: Callable[[], None] = lambda: None


class OperatorService:
    """Serves health, readiness, metrics, status and audit events.

    Parameters
    ----------
    sources : OperatorSources
        Data to serve.
    metrics : Metrics
        Metrics to serve.
    """

    def __init__(self, sources: OperatorSources, metrics: Metrics) -> None:
        self._sources = sources
        self._metrics = metrics
        self._server = HttpServer(self.handle)
        self._handlers: dict[str, Callable[[str], Response]] = {
            "/health": self._handle_health,
            "/ready": self._handle_ready,
            "/metrics": self._handle_metrics,
            "/status": self._handle_status,
            "/audit": self._handle_audit,
        }

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        await self._server.start(address)

    def stop(self) -> Awaitable[None]:
        """Stop listening and close all connections."""
        return self._server.stop()

    async def handle(self, request: Request) -> Response:
        """Handle one request."""
        parts = urlsplit(request.target)
        handler = self._handlers.get(parts.path)
        if handler is None:
            paths = ", ".join(self._handlers)
            return _error_response(f"no such path; there are {paths}", NOT_FOUND)
        if request.method != "GET":
            return _error_response("only GET is allowed", METHOD_NOT_ALLOWED)
        return handler(parts.query)

    def _handle_health(self, _: str) -> Response:
        return json_response({"instance": self._sources.instance, "alive": True})

    def _handle_ready(self, _: str) -> Response:
        readiness = self._sources.read_readiness()
        return json_response(
            {"ready": readiness.is_ready, "reason": readiness.reason},
            status=OK if readiness.is_ready else UNAVAILABLE,
        )

    def _handle_metrics(self, _: str) -> Response:
        self._sources.refresh()
        return Response(
            status=OK,
            headers=(("content-type", CONTENT_TYPE_LATEST),),
            body=self._metrics.render(),
        )

    def _handle_status(self, _: str) -> Response:
        sources = self._sources
        readiness = sources.read_readiness()
        return json_response(
            {
                "instance": sources.instance,
                "ready": readiness.is_ready,
                "reason": readiness.reason,
                "version": sources.read_version(),
                "sequence": sources.read_sequence(),
                "queues": dict(sources.read_queues()),
                "targets": [_render_target_status(b) for b in sources.read_targets()],
                "view": [dict(row) for row in sources.read_view()],
                "lease": dict(sources.read_lease()),
            }
        )

    def _handle_audit(self, query: str) -> Response:
        text = parse_qs(query).get("after", ["0"])[-1]
        if not (text.isascii() and text.isdigit()) or int(text) > MAX_AFTER:
            return _error_response("after must be a number of an event", BAD_REQUEST)
        events = [dict(event) for event in self._sources.read_audit(int(text))]
        return json_response({"events": events})


def _error_response(reason: str, status: int) -> Response:
    return json_response({"error": reason}, status=status)


def _render_target_status(target_status: TargetStatus) -> dict[str, Any]:
    report = target_status.report
    claim = None
    if report is not None:
        claim = {
            "in_flight": report.in_flight,
            "slots": report.slots,
            "state": report.state.value,
        }
    return {
        "target": target_status.target,
        "service": target_status.service,
        "state": target_status.state.value,
        "evidence_age_ms": _round(target_status.evidence_age_ms),
        "limit": target_status.limit,
        "circuit": target_status.circuit,
        "response_ms": _round(target_status.response_ms),
        "claim": claim,
    }


def _round(value_ms: float | None) -> float | None:
    return None if value_ms is None else round(value_ms, MS_DIGITS)
