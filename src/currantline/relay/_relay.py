"""Handles one request from its arrival to its response."""

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from currantline.clock import Clock
from currantline.relay._hedger import Hedger
from currantline.relay._names import HeaderNames
from currantline.relay._progress import Progress
from currantline.relay._repeats import MIN_REMAINING_MS, RepeatLimiter
from currantline.relay._request_log import RequestLog
from currantline.relay._responses import (
    NOT_RUN_STATUSES,
    build_text_response,
    strip_platform_headers,
)
from currantline.relay._retry_after import (
    UNREADY_RETRY_AFTER_MS,
    find_retry_after_bounds_ms,
)
from currantline.relay._selection import RequestContext, Selection
from currantline.relay._selector import TargetSelector
from currantline.relay._sender import Outcome, Sender, SendResult
from currantline.relay._tasks import discard_cancellation
from currantline.relay._time_left import parse_time_left
from currantline.routing import (
    RequestAgeEstimator,
    Route,
    RouteTable,
    choose_service,
)
from currantline.telemetry import EventLog, Meter
from currantline.wire import Request, Response, find_header

__all__ = ["Relay"]

# Additional time to wait for a response after the deadline, in milliseconds: a target
# that stops at the deadline reports it.
RESPONSE_GRACE_MS = 15.0

# Time in milliseconds after the deadline for which a non-idempotent request continues
# although its caller has left or got a response, so that the target is not interrupted.
DETACHED_GRACE_MS = 500.0

# Part of a caller's remaining time reserved for the transit of request and response, in
# milliseconds. The more distant of the current callers are 8 ms away.
TRANSIT_MS = 20.0

NOT_FOUND, UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 404, 503, 502, 504


class Relay:
    """Forwards requests to targets, with retries and hedging.

    Parameters
    ----------
    read_table : callable
        Returns the routes in force, or None.
    selector : TargetSelector
        Selects targets.
    sender : Sender
        Sends requests.
    repeats : RepeatLimiter
        Limits retries and hedges.
    hedger : Hedger
        Decides about hedges.
    names : HeaderNames
        Header names.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws services and Retry-After values.
    meter : Meter
        Counts requests.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        *,
        read_table: Callable[[], RouteTable | None],
        selector: TargetSelector,
        sender: Sender,
        repeats: RepeatLimiter,
        hedger: Hedger,
        names: HeaderNames,
        clock: Clock,
        rng: random.Random,
        meter: Meter,
        log: EventLog,
    ) -> None:
        self._read_table = read_table
        self._selector = selector
        self._sender = sender
        self._repeats = repeats
        self._hedger = hedger
        self._names = names
        self._clock = clock
        self._rng = rng
        self._meter = meter
        self._request_log = RequestLog(names=names, clock=clock, meter=meter, log=log)
        self._age_estimator = RequestAgeEstimator()
        self._detached: set[asyncio.Task[SendResult]] = set()
        self._timeouts: set[asyncio.Timeout] = set()
        self._end_ms = math.inf

    @property
    def detached_sends(self) -> int:
        """Number of non-idempotent sends in progress."""
        return len(self._detached)

    def start_draining(self, end_ms: float) -> None:
        """Let requests that arrive from now on time out before the instance stops.

        Parameters
        ----------
        end_ms : float
            Time by which they must have a response, in milliseconds.
        """
        self._end_ms = end_ms

    def end_waiting(self) -> None:
        """Time out all requests in progress. Those that were not sent are refused."""
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now_s)

    def is_idempotent(self, request: Request) -> bool:
        """Return whether a request may be executed more than once.

        That includes requests without a route, which are not executed at all.
        """
        table = self._read_table()
        route = _find_route(table, request) if table is not None else None
        return route is None or route.is_idempotent

    async def handle(self, request: Request, arrived_ms: float) -> Response:
        """Return the response to a request.

        Parameters
        ----------
        request : Request
            The request.
        arrived_ms : float
            Time at which its first byte arrived, in milliseconds. Its deadline counts
            from then, also if its body took long or it waited behind another request.
        """
        table = self._read_table()
        if table is None:
            return self._refuse(
                request, "no configuration is known", UNREADY_RETRY_AFTER_MS
            )
        route = _find_route(table, request)
        if route is None:
            self._request_log.write_unrouted(
                request, NOT_FOUND, "no route", version=table.version
            )
            return build_text_response(NOT_FOUND, "no route fits")
        service = table.services.get(choose_service(route, self._rng))
        if service is None:
            return self._refuse(request, "unknown service", UNREADY_RETRY_AFTER_MS)
        remaining_ms = self._read_time_left(request, route)
        age_ms = self._age_estimator.estimate_age(route.name, remaining_ms)
        context = RequestContext(
            request_id=find_header(request.headers, self._names.request_id) or "",
            route=route,
            service=service,
            arrived_ms=self._clock.read(),
            objective_deadline_ms=arrived_ms + route.objective_ms - age_ms - TRANSIT_MS,
            deadline_ms=min(
                arrived_ms + min(remaining_ms - TRANSIT_MS, route.timeout_ms),
                self._end_ms,
            ),
            caller_deadline_ms=arrived_ms + remaining_ms - TRANSIT_MS,
        )
        progress = Progress(context, request)
        response = await self._process(progress)
        self._request_log.write(progress, response, table.version)
        return response

    def _read_time_left(self, request: Request, route: Route) -> float:
        stated = find_header(request.headers, self._names.time_left)
        return parse_time_left(stated, route.timeout_ms)

    async def _process(self, progress: Progress) -> Response:
        context = progress.context
        self._repeats.record_request(context)
        if context.deadline_ms - context.arrived_ms < MIN_REMAINING_MS:
            return self._refuse_routed(progress, "too little time left")
        pending = {asyncio.create_task(self._attempt(progress))}
        try:
            async with asyncio.timeout(None) as timeout:
                self._timeouts.add(timeout)
                return await self._await_response(progress, pending)
        except TimeoutError:
            if not timeout.expired():
                raise
            return self._build_timeout(progress)
        finally:
            self._timeouts.discard(timeout)
            for task in pending:
                task.cancel()
                task.add_done_callback(discard_cancellation)
            self._hedger.record_end(progress)

    async def _await_response(
        self, progress: Progress, pending: set["asyncio.Task[SendResult | None]"]
    ) -> Response:
        context = progress.context
        hedge: asyncio.Task[SendResult | None] | None = None
        hedge_ms = self._hedger.find_time_ms(progress)
        while pending:
            now = self._clock.read()
            end_ms = context.deadline_ms + (
                RESPONSE_GRACE_MS if progress.sends else 0.0
            )
            if now >= end_ms:
                return self._build_timeout(progress)
            is_early = hedge_ms is not None and now < hedge_ms
            if hedge_ms is None or not is_early:
                until_ms = end_ms
            else:
                until_ms = min(end_ms, hedge_ms)
            done, _ = await asyncio.wait(
                pending,
                timeout=max(0.0, until_ms - now) / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                pending.discard(task)
                result = task.result()
                if result is None:
                    continue
                progress.results.append(result)
                if result.outcome is Outcome.SUCCESS:
                    assert result.response is not None
                    self._hedger.record_success(
                        progress, result, is_hedge=task is hedge
                    )
                    return strip_platform_headers(result.response, self._names)
            if not pending and self._repeats.try_acquire(progress):
                pending.add(asyncio.create_task(self._attempt(progress)))
            elif not done and is_early:
                hedge_ms = self._hedger.find_next_time_ms(progress)
                if hedge_ms is None and self._repeats.can_repeat(progress):
                    hedge = asyncio.create_task(self._hedge(progress))
                    pending.add(hedge)
        return self._build_final(progress)

    async def _attempt(self, progress: Progress) -> SendResult | None:
        while True:
            selection = await self._selector.select(
                progress.context, exclude=progress.tried
            )
            if selection.target is None or selection.lease is None:
                progress.refusal_reason = selection.reason
                progress.retry_after_ms = selection.wait_ms
                return None
            result = await self._send(progress, selection)
            if result is not None:
                return result

    async def _hedge(self, progress: Progress) -> SendResult | None:
        selection = await self._hedger.select(progress)
        if selection is None or selection.target is None or selection.lease is None:
            return None
        return await self._send(progress, selection)

    async def _send(
        self, progress: Progress, selection: Selection
    ) -> SendResult | None:
        """Send a request, and return None if nothing was written after all."""
        target, context = selection.target, progress.context
        assert target is not None
        progress.tried.add(target.name)
        progress.sends += 1
        send = self._send_once(progress, selection)
        if context.route.is_idempotent:
            return self._check_sent(progress, await send)
        # Never cancelled once sent, since the target may be executing it.
        task = asyncio.create_task(self._limit_duration(send, context))
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return self._check_sent(progress, await asyncio.shield(task))

    def _check_sent(self, progress: Progress, result: SendResult) -> SendResult | None:
        if result.outcome is not Outcome.NOT_SENT:
            return result
        progress.tried.discard(result.target)
        progress.sends -= 1
        return None

    async def _send_once(self, progress: Progress, selection: Selection) -> SendResult:
        target, lease, context = selection.target, selection.lease, progress.context
        assert target is not None
        assert lease is not None
        # A detached send starts later than its target was selected.
        if not self._selector.is_current(target):
            self._selector.release(selection)
            return SendResult(outcome=Outcome.NOT_SENT, target=target.name)
        self._meter.count("sends", service=context.service.name)
        if progress.first_sent_ms is None:
            self._hedger.record_first_send(progress)
        try:
            return await self._sender.send(
                context,
                progress.request,
                target,
                lease,
                permit_end_ms=selection.permit_end_ms,
            )
        finally:
            self._selector.notify_slot_freed(context, target)

    async def _limit_duration(
        self, send: Coroutine[Any, Any, SendResult], context: RequestContext
    ) -> SendResult:
        left_ms = max(0.0, context.deadline_ms - self._clock.read()) + DETACHED_GRACE_MS
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await send
        except TimeoutError:
            return SendResult(outcome=Outcome.UNKNOWN, target="", reason="no answer")

    def _build_timeout(self, progress: Progress) -> Response:
        if progress.sends == 0:
            return self._refuse_routed(progress, "no target in time")
        return build_text_response(GATEWAY_TIMEOUT, "the target did not answer in time")

    def _build_final(self, progress: Progress) -> Response:
        failures = [r for r in progress.results if r.outcome is Outcome.FAILURE]
        if failures and failures[-1].response is not None:
            return self._pass_on_failure(progress, failures[-1].response)
        if any(r.outcome is not Outcome.NOT_RUN for r in progress.results):
            return build_text_response(BAD_GATEWAY, "the target gave no whole answer")
        return self._refuse_routed(
            progress, progress.refusal_reason or "targets rejected it"
        )

    def _pass_on_failure(self, progress: Progress, response: Response) -> Response:
        """Return the failure of a target, unless it would promise "not run"."""
        if response.status not in NOT_RUN_STATUSES:
            return strip_platform_headers(response, self._names)
        progress.refusal_reason = f"run, and failed with {response.status}"
        return build_text_response(BAD_GATEWAY, "the target failed the request")

    def _refuse_routed(self, progress: Progress, reason: str) -> Response:
        progress.refusal_reason = reason
        context = progress.context
        bounds_ms = find_retry_after_bounds_ms(
            left_ms=max(0.0, context.caller_deadline_ms - self._clock.read()),
            until_known_ms=self._find_known_wait_ms(progress),
            rejected_objective_ms=context.route.objective_ms if progress.results else 0,
        )
        return self._build_refusal(reason, bounds_ms)

    def _find_known_wait_ms(self, progress: Progress) -> float:
        wait_ms = self._selector.find_wait_ms(progress.context)
        # It is infinite if no target is published, or all of them leave.
        return max(progress.retry_after_ms, wait_ms if math.isfinite(wait_ms) else 0.0)

    def _refuse(
        self, request: Request, reason: str, bounds_ms: tuple[float, float]
    ) -> Response:
        self._request_log.write_unrouted(request, UNAVAILABLE, reason)
        return self._build_refusal(reason, bounds_ms)

    def _build_refusal(self, reason: str, bounds_ms: tuple[float, float]) -> Response:
        after_s = self._rng.uniform(*bounds_ms) / 1000
        response = build_text_response(UNAVAILABLE, reason)
        header = ("retry-after", f"{after_s:.3f}")
        return attrs.evolve(response, headers=(*response.headers, header))


def _find_route(table: RouteTable, request: Request) -> Route | None:
    host = find_header(request.headers, "host") or ""
    return table.find(host, request.target.partition("?")[0])
