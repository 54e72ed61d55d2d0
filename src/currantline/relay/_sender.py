"""Sends a request to a target and classifies the response."""

import asyncio
import enum
import math

import attrs

from currantline.clock import Clock
from currantline.exceptions import InvalidValueError, WireError
from currantline.placement import (
    LatencyAverages,
    LoadReport,
    Target,
    parse_load_header,
)
from currantline.relay._availability_reader import AvailabilityReader
from currantline.relay._limit_reader import RateLimitReader
from currantline.relay._names import HeaderNames
from currantline.relay._pool import ConnectionPool, Lease
from currantline.relay._responses import is_misdirected
from currantline.relay._selection import RequestContext
from currantline.telemetry import EventLog, Meter
from currantline.wire import (
    DEAD_PEER_TIMEOUT_MS,
    Request,
    Response,
    find_header,
    strip_hop_by_hop,
)

__all__ = ["Outcome", "SendResult", "Sender"]

# A send that is cancelled after this multiple of the average response time counts as a
# failure of lower weight, since the request may have been a straggler.
SLOW_CANCELLATION_RATIO = 2.0
SLOW_CANCELLATION_WEIGHT = 0.5

# At most one late response to an earlier request has been seen before the expected one.
MAX_RESPONSES_READ = 2


class Outcome(enum.Enum):
    """Outcome of a send."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NOT_SENT = "not-sent"


@attrs.frozen(eq=False, kw_only=True)
class SendResult:
    """Result of one send.

    Parameters
    ----------
    outcome : Outcome
        ``SUCCESS`` and ``FAILURE`` mean a complete response of the target. After
        ``UNKNOWN`` the request may have been executed. After ``NOT_SENT`` nothing was
        written, and another target may be selected.
    response : Response or None
        Response of the target.
    target : str
        Name of the target.
    reason : str
        Reason for the outcome, empty after a success.
    took_ms : float
        Duration of the send in milliseconds.
    """

    outcome: Outcome
    response: Response | None = None
    target: str
    reason: str = ""
    took_ms: float = 0.0


class Sender:
    """Sends requests to targets and classifies their responses.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to targets.
    names : HeaderNames
        Header names.
    limit_reader : RateLimitReader
        Reads the limits that targets name.
    availability_reader : AvailabilityReader
        Reads what targets say of their availability.
    latencies : LatencyAverages
        Average response times of routes, updated by each success.
    clock : Clock
        Source of time.
    meter : Meter
        Counts permits that are not used.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        *,
        names: HeaderNames,
        limit_reader: RateLimitReader,
        availability_reader: AvailabilityReader,
        latencies: LatencyAverages,
        clock: Clock,
        meter: Meter,
        log: EventLog,
    ) -> None:
        self._pool = pool
        self._names = names
        self._limit_reader = limit_reader
        self._availability_reader = availability_reader
        self._latencies = latencies
        self._clock = clock
        self._meter = meter
        self._log = log

    async def send(
        self,
        context: RequestContext,
        request: Request,
        target: Target,
        lease: Lease,
        *,
        permit_end_ms: float | None = None,
    ) -> SendResult:
        """Send a request and return the result.

        The request is written before this coroutine suspends for the first time. It is
        not written if the target is cold and the permit for it is void by now.

        Parameters
        ----------
        context : RequestContext
            The request.
        request : Request
            The request as the caller sent it.
        target : Target
            The target.
        lease : Lease
            Connection to the target.
        permit_end_ms : float or None
            Time after which the permit for a cold target is void, in milliseconds, None
            without such a permit.
        """
        sent_ms = self._clock.read()
        if target.is_cold(sent_ms) and (
            permit_end_ms is None or sent_ms > permit_end_ms
        ):
            self._pool.release(lease)
            self._meter.count("permits", result="void")
            return SendResult(
                outcome=Outcome.NOT_SENT, target=target.name, reason="permit void"
            )
        target.send_times_ms.append(sent_ms)
        response: Response | None = None
        reason = "cancelled"
        try:
            if request.body:
                # A target may read slowly, and the deadline limits the send already.
                left_ms = math.ceil(context.deadline_ms - sent_ms)
                lease.connection.set_write_timeout(max(DEAD_PEER_TIMEOUT_MS, left_ms))
            lease.connection.write_request(
                self._build_request(request, target, context)
            )
            response = await self._read_matching_response(lease, target, context)
            self._record_load(response, target)
        except WireError as error:
            reason = str(error)
        except asyncio.CancelledError:
            self._record_slow_cancellation(target, context, sent_ms)
            raise
        finally:
            target.send_times_ms.remove(sent_ms)
            if response is None:
                self._pool.drop(lease)
            elif self._pool.prepare_reuse(lease, response):
                self._pool.release(lease)
        took_ms = self._clock.read() - sent_ms
        result = self._build_result(response, target, reason, took_ms)
        self._record_result(result, target, context)
        return result

    def _build_request(
        self, request: Request, target: Target, context: RequestContext
    ) -> Request:
        names = self._names
        replaced = (names.time_left, names.expected_target)
        forwarded = strip_hop_by_hop(request.headers)
        left_ms = max(1, int(context.deadline_ms - self._clock.read()))
        return attrs.evolve(
            request,
            headers=(
                *(header for header in forwarded if header[0] not in replaced),
                (names.time_left, str(left_ms)),
                (names.expected_target, target.name),
            ),
        )

    async def _read_matching_response(
        self, lease: Lease, target: Target, context: RequestContext
    ) -> Response:
        may_be_repeated = lease.has_carried_request or lease.has_carried_refusal
        lease.has_carried_request = True
        for _ in range(MAX_RESPONSES_READ):
            response = await lease.connection.read_response(accept_unframed=True)
            self._availability_reader.read(target, response)
            request_id = find_header(response.headers, self._names.request_id)
            if request_id is None and may_be_repeated:
                # It may be an earlier response that the target has sent once more.
                raise WireError(f"status {response.status} without a request id")
            if request_id is None or request_id == context.request_id:
                return response
            lease.connection.discard_response()
        raise WireError("only answers to other requests came")

    def _build_result(
        self, response: Response | None, target: Target, reason: str, took_ms: float
    ) -> SendResult:
        outcome = Outcome.UNKNOWN
        if response is not None:
            outcome, reason = self._classify(response)
        return SendResult(
            outcome=outcome,
            response=response if outcome is not Outcome.UNKNOWN else None,
            target=target.name,
            reason=reason,
            took_ms=took_ms,
        )

    def _classify(self, response: Response) -> tuple[Outcome, str]:
        names = self._names
        if find_header(response.headers, names.not_run) is not None:
            return Outcome.NOT_RUN, f"rejected with {response.status}"
        if is_misdirected(response, names):
            return Outcome.NOT_RUN, "another target answers at the address"
        if find_header(response.headers, names.signature) is None:
            return Outcome.UNKNOWN, f"status {response.status} without a signature"
        if find_header(response.headers, names.request_id) is None:
            return Outcome.UNKNOWN, f"status {response.status} without a request id"
        if find_header(response.headers, "content-encoding") is not None:
            return Outcome.UNKNOWN, "the body is encoded"
        if 200 <= response.status < 300:
            return Outcome.SUCCESS, ""
        return Outcome.FAILURE, f"status {response.status}"

    def _record_load(self, response: Response, target: Target) -> None:
        load = find_header(response.headers, self._names.load)
        if load is None or is_misdirected(response, self._names):
            return
        try:
            running, waiting, slots, slowness = parse_load_header(load)
        except InvalidValueError as error:
            self._log.write("load_refused", target=target.name, reason=str(error))
            return
        # A target counts the answered request among those that it processes.
        is_counted = find_header(response.headers, self._names.signature) is not None
        previous = target.last_report
        target.last_report = LoadReport(
            running=max(0, running - 1) if is_counted else running,
            waiting=waiting,
            slots=slots,
            slowness=slowness,
            requested_ms=self._clock.read(),
            took_ms=previous.took_ms if previous else 0.0,
            is_healthy=previous.is_healthy if previous else True,
        )

    def _record_slow_cancellation(
        self, target: Target, context: RequestContext, sent_ms: float
    ) -> None:
        now = self._clock.read()
        if now - sent_ms > SLOW_CANCELLATION_RATIO * self._latencies.read(
            context.route.name
        ):
            target.passive_health.record_failure(now, SLOW_CANCELLATION_WEIGHT)

    def _record_result(
        self, result: SendResult, target: Target, context: RequestContext
    ) -> None:
        now = self._clock.read()
        self._read_limit(result, target)
        if result.outcome is Outcome.SUCCESS:
            ratio = self._latencies.record(context.route.name, result.took_ms)
            target.passive_health.record_success(now, ratio)
            return
        if result.response is not None and is_misdirected(result.response, self._names):
            target.is_address_reused = True
        if result.response is not None:
            target.passive_health.record_rejection(now)
        else:
            target.passive_health.record_failure(now)

    def _read_limit(self, result: SendResult, target: Target) -> None:
        response = result.response
        # Another target that responds at the address states its own limit.
        if response is not None and not is_misdirected(response, self._names):
            is_success = result.outcome is Outcome.SUCCESS
            self._limit_reader.read(target, response, is_success=is_success)
