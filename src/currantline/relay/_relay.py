"""Handles one request from its arrival to its response."""

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from currantline.clock import Clock
from currantline.placement import Target
from currantline.relay._names import HeaderNames
from currantline.relay._pool import Lease
from currantline.relay._retry_after import find_retry_after_bounds_ms
from currantline.relay._selection import RequestContext
from currantline.relay._selector import TargetSelector
from currantline.relay._sender import Outcome, Sender, SendResult
from currantline.relay._tasks import discard_cancellation
from currantline.routing import (
    RequestAgeEstimator,
    RetryBudget,
    RetryBudgetOptions,
    Route,
    RouteTable,
    choose_service,
)
from currantline.telemetry import EventLog, Meter
from currantline.wire import Request, Response, find_header

__all__ = ["Relay"]

# Share of the latency objective after which an idempotent request is hedged, that is
# also sent to a second target, if the first one has not responded.
HEDGE_SHARE = 0.45

# Additional time to wait for a response after the deadline, in milliseconds: a target
# that stops at the deadline reports it.
RESPONSE_GRACE_MS = 15.0

# Time in milliseconds after the deadline for which a non-idempotent request continues
# although its caller has left or got a response, so that the target is not interrupted.
DETACHED_GRACE_MS = 500.0

# Part of a caller's remaining time reserved for the transit of request and response, in
# milliseconds. The more distant of the current callers are 8 ms away.
TRANSIT_MS = 20.0

# Requests with less remaining time are refused, in milliseconds: a round trip to a
# target takes this long.
MIN_REMAINING_MS = 5.0

# Range of Retry-After while the instance has no configuration yet, in milliseconds. An
# instance gets it within some tens of milliseconds.
UNREADY_RETRY_AFTER_MS = (500.0, 1_500.0)

NOT_FOUND, UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 404, 503, 502, 504


@attrs.define(eq=False)
class _Progress:
    """State of a request in progress."""

    context: RequestContext
    request: Request
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    results: list[SendResult] = attrs.field(factory=list)
    refusal_reason: str = ""
    # Time after which a refused caller may be served, 0 if unknown, in milliseconds.
    retry_after_ms: float = 0.0
    may_have_run: bool = False


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
    names : HeaderNames
        Header names.
    retry_options : RetryBudgetOptions
        Retry budget of the fleet.
    count_instances : callable
        Returns the number of instances that share the budget.
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
        names: HeaderNames,
        retry_options: RetryBudgetOptions,
        count_instances: Callable[[], int],
        clock: Clock,
        rng: random.Random,
        meter: Meter,
        log: EventLog,
    ) -> None:
        self._read_table = read_table
        self._selector = selector
        self._sender = sender
        self._names = names
        self._retry_options = retry_options
        self._count_instances = count_instances
        self._clock = clock
        self._rng = rng
        self._meter = meter
        self._log = log
        self._age_estimator = RequestAgeEstimator()
        self._budgets: dict[str, RetryBudget] = {}
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
            self._log_unrouted(request, NOT_FOUND, "no route", version=table.version)
            return _build_text_response(NOT_FOUND, "no route fits")
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
        progress = _Progress(context, request)
        response = await self._process(progress)
        self._log_request(progress, response, table.version)
        return response

    def _read_time_left(self, request: Request, route: Route) -> float:
        stated = find_header(request.headers, self._names.time_left)
        try:
            remaining_ms = float(stated) if stated is not None else route.timeout_ms
        except ValueError:
            return route.timeout_ms
        return remaining_ms if math.isfinite(remaining_ms) else route.timeout_ms

    async def _process(self, progress: _Progress) -> Response:
        context = progress.context
        self._find_budget(context).record_request(context.arrived_ms)
        if context.deadline_ms - context.arrived_ms < MIN_REMAINING_MS:
            return self._refuse_routed(progress, "too little time left")
        pending = {self._start(progress)}
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

    async def _await_response(
        self, progress: _Progress, pending: set["asyncio.Task[SendResult | None]"]
    ) -> Response:
        context = progress.context
        hedge_ms = context.arrived_ms + HEDGE_SHARE * context.route.objective_ms
        while pending:
            now = self._clock.read()
            end_ms = context.deadline_ms + (
                RESPONSE_GRACE_MS if progress.sends else 0.0
            )
            if now >= end_ms:
                return self._build_timeout(progress)
            is_early = now < hedge_ms and context.route.is_idempotent
            until_ms = min(end_ms, hedge_ms) if is_early else end_ms
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
                    return self._strip_headers(result.response)
            if not pending and self._acquire_retry(progress):
                pending.add(self._start(progress))
            elif not done and is_early and self._can_retry(progress):
                pending.add(self._start(progress, is_hedge=True))
        return self._build_final(progress)

    def _start(
        self, progress: _Progress, *, is_hedge: bool = False
    ) -> "asyncio.Task[SendResult | None]":
        attempt = self._hedge(progress) if is_hedge else self._attempt(progress)
        return asyncio.get_running_loop().create_task(attempt)

    async def _attempt(self, progress: _Progress) -> SendResult | None:
        selection = await self._selector.select(
            progress.context, exclude=progress.tried
        )
        if selection.target is None or selection.lease is None:
            progress.refusal_reason = selection.reason
            progress.retry_after_ms = selection.wait_ms
            return None
        return await self._send(progress, selection.target, selection.lease)

    async def _hedge(self, progress: _Progress) -> SendResult | None:
        context = progress.context
        selection = await self._selector.select_hedge(context, exclude=progress.tried)
        if selection is None or selection.target is None or selection.lease is None:
            return None
        if not self._acquire_retry(progress, is_hedge=True):
            self._selector.release(selection)
            return None
        return await self._send(progress, selection.target, selection.lease)

    async def _send(
        self, progress: _Progress, target: Target, lease: Lease
    ) -> SendResult:
        context = progress.context
        progress.tried.add(target.name)
        progress.sends += 1
        self._meter.count("sends", service=context.service.name)
        send = self._send_once(progress, target, lease)
        if context.route.is_idempotent:
            return await send
        # Never cancelled once sent, since the target may be executing it.
        task = asyncio.get_running_loop().create_task(
            self._limit_duration(send, context)
        )
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    async def _send_once(
        self, progress: _Progress, target: Target, lease: Lease
    ) -> SendResult:
        context = progress.context
        try:
            return await self._sender.send(context, progress.request, target, lease)
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

    def _can_retry(self, progress: _Progress) -> bool:
        context = progress.context
        if not progress.sends or progress.sends >= context.route.max_attempts:
            return False
        is_clean = all(r.outcome is Outcome.NOT_RUN for r in progress.results)
        return context.route.is_idempotent or (
            is_clean and len(progress.results) == progress.sends
        )

    def _acquire_retry(self, progress: _Progress, *, is_hedge: bool = False) -> bool:
        if progress.refusal_reason or not self._can_retry(progress):
            return False
        now = self._clock.read()
        if progress.context.deadline_ms - now < MIN_REMAINING_MS:
            return False
        instances = self._count_instances()
        is_allowed = self._find_budget(progress.context).try_acquire(now, instances)
        kind = "hedges" if is_hedge else "retries"
        label = kind if is_allowed else f"{kind}_over_budget"
        self._meter.count("repeats", kind=label)
        return is_allowed

    def _find_budget(self, context: RequestContext) -> RetryBudget:
        name = context.service.name
        if name not in self._budgets:
            self._budgets[name] = RetryBudget(self._retry_options)
        return self._budgets[name]

    def _build_timeout(self, progress: _Progress) -> Response:
        if progress.sends == 0:
            return self._refuse_routed(progress, "no target in time")
        return _build_text_response(
            GATEWAY_TIMEOUT, "the target did not answer in time"
        )

    def _build_final(self, progress: _Progress) -> Response:
        failures = [r for r in progress.results if r.outcome is Outcome.FAILURE]
        if failures and failures[-1].response is not None:
            return self._strip_headers(failures[-1].response)
        if any(r.outcome is Outcome.UNKNOWN for r in progress.results):
            return _build_text_response(BAD_GATEWAY, "the target gave no whole answer")
        return self._refuse_routed(
            progress, progress.refusal_reason or "targets rejected it"
        )

    def _strip_headers(self, response: Response) -> Response:
        names = self._names
        dropped = {names.load, names.target, *names.rate_limit, *names.leaving}
        dropped |= {"connection", "keep-alive"}
        dropped |= {"transfer-encoding", "content-length"}
        headers = tuple(h for h in response.headers if h[0] not in dropped)
        return attrs.evolve(response, headers=headers)

    def _refuse_routed(self, progress: _Progress, reason: str) -> Response:
        progress.refusal_reason = reason
        context = progress.context
        bounds_ms = find_retry_after_bounds_ms(
            left_ms=max(0.0, context.caller_deadline_ms - self._clock.read()),
            until_known_ms=self._find_known_wait_ms(progress),
            rejected_objective_ms=context.route.objective_ms if progress.results else 0,
        )
        return self._build_refusal(reason, bounds_ms)

    def _find_known_wait_ms(self, progress: _Progress) -> float:
        wait_ms = self._selector.find_wait_ms(progress.context)
        # It is infinite if no target is published, or all of them leave.
        return max(progress.retry_after_ms, wait_ms if math.isfinite(wait_ms) else 0.0)

    def _refuse(
        self, request: Request, reason: str, bounds_ms: tuple[float, float]
    ) -> Response:
        self._log_unrouted(request, UNAVAILABLE, reason)
        return self._build_refusal(reason, bounds_ms)

    def _build_refusal(self, reason: str, bounds_ms: tuple[float, float]) -> Response:
        after_s = self._rng.uniform(*bounds_ms) / 1000
        response = _build_text_response(UNAVAILABLE, reason)
        header = ("retry-after", f"{after_s:.3f}")
        return attrs.evolve(response, headers=(*response.headers, header))

    def _log_unrouted(
        self, request: Request, status: int, reason: str, *, version: int = 0
    ) -> None:
        request_id = find_header(request.headers, self._names.request_id) or ""
        self._meter.count("requests", status=str(status))
        self._log.write(
            "request",
            request_id=request_id,
            status=status,
            reason=reason,
            version=version,
        )

    def _log_request(
        self, progress: _Progress, response: Response, version: int
    ) -> None:
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


def _find_route(table: RouteTable, request: Request) -> Route | None:
    host = find_header(request.headers, "host") or ""
    return table.find(host, request.target.partition("?")[0])


def _build_text_response(status: int, text: str) -> Response:
    return Response(
        status=status,
        headers=(("content-type", "text/plain"),),
        body=text.encode(),
    )
