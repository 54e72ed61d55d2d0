"""Carries one request from its arrival to its answer."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from currantline.clock import Clock
from currantline.placement import Target
from currantline.relay._names import HeaderNames
from currantline.relay._placer import Placer, Work
from currantline.relay._pool import Lease
from currantline.relay._sender import Ending, Sender, SendResult
from currantline.routing import (
    CallerPatience,
    RetryBudget,
    RetryTerms,
    Route,
    RouteTable,
    choose_service,
)
from currantline.telemetry import EventLog, Meter
from currantline.wire import Request, Response, find_header

__all__ = ["Relay"]

# Part of the objective after which an idempotent request is sent to a second target
# as well, if the first one has not answered.
HEDGE_SHARE = 0.45

# A target that stops at the given deadline says so; its answer is awaited this much
# longer, in milliseconds.
LAST_WORD_MS = 15.0

# Time in milliseconds for which the answer to a non-idempotent request is read after
# its caller has gone or been answered, so that the target is not cut off.
DETACHED_MS = 500.0

# Part of a caller's time that the request and the answer spend on their ways, in
# milliseconds; the more distant of today's callers are 8 ms away.
RETURN_MS = 20.0

# Requests with less time left than this are refused, in milliseconds: a round trip
# to a target takes that long.
SHORTEST_MS = 5.0

# Bounds of the time after which a refused caller is asked to return, as parts of the
# time that it still waits; drawn between them so that refused callers do not return
# together. Callers honour up to a third of that time.
RETURN_SHARES = (0.15, 0.33)

# The same for a caller whose request targets with free slots rejected, as parts of
# the objective; another try may succeed at once.
REJECTED_SHARES = (0.0, 0.05)

# Bounds of the time after which a caller is asked to return to an instance that
# knows no configuration yet, in milliseconds; it takes some tens of milliseconds.
UNREADY_MS = (500.0, 1_500.0)

NOT_FOUND, UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 404, 503, 502, 504


@attrs.define(eq=False)
class _Progress:
    """What has been done for a request."""

    work: Work
    request: Request
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    results: list[SendResult] = attrs.field(factory=list)
    refusal: str = ""
    may_have_run: bool = False


class Relay:
    """Carries requests to targets.

    Parameters
    ----------
    read_table : callable
        Returns the routes in force, or None.
    placer : Placer
        Finds targets.
    sender : Sender
        Sends requests.
    names : HeaderNames
        Header names.
    retry_terms : RetryTerms
        Retry budget of the fleet.
    count_instances : callable
        Returns how many instances share the budget.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws services and times to return.
    meter : Meter
        Counts requests.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        *,
        read_table: Callable[[], RouteTable | None],
        placer: Placer,
        sender: Sender,
        names: HeaderNames,
        retry_terms: RetryTerms,
        count_instances: Callable[[], int],
        clock: Clock,
        rng: random.Random,
        meter: Meter,
        log: EventLog,
    ) -> None:
        self._read_table = read_table
        self._placer = placer
        self._sender = sender
        self._names = names
        self._retry_terms = retry_terms
        self._count_instances = count_instances
        self._clock = clock
        self._rng = rng
        self._meter = meter
        self._log = log
        self._patience = CallerPatience()
        self._budgets: dict[str, RetryBudget] = {}
        self._detached: set[asyncio.Task[SendResult]] = set()

    @property
    def detached(self) -> int:
        """Sends that go on although nobody waits for them."""
        return len(self._detached)

    async def handle(self, request: Request) -> Response:
        """Return the answer to a request."""
        arrived_ms = self._clock.read()
        table = self._read_table()
        if table is None:
            return self._refuse(request, "no configuration is known", UNREADY_MS)
        host = find_header(request.headers, "host") or ""
        route = table.find(host, request.target.partition("?")[0])
        if route is None:
            self._note(request, NOT_FOUND, "no route", version=table.version)
            return _answer_text(NOT_FOUND, "no route fits")
        service = table.services.get(choose_service(route, self._rng))
        if service is None:
            return self._refuse(request, "unknown service", UNREADY_MS)
        stated_ms = self._read_time_left(request, route)
        age_ms = self._patience.find_age(route.name, stated_ms)
        work = Work(
            request_id=find_header(request.headers, self._names.request_id) or "",
            route=route,
            service=service,
            arrived_ms=arrived_ms,
            due_ms=arrived_ms + route.objective_ms - age_ms - RETURN_MS,
            ends_ms=arrived_ms + min(stated_ms - RETURN_MS, route.timeout_ms),
            leaves_ms=arrived_ms + stated_ms - RETURN_MS,
        )
        progress = _Progress(work, request)
        answer = await self._carry(progress)
        self._report(progress, answer, table.version)
        return answer

    def _read_time_left(self, request: Request, route: Route) -> float:
        stated = find_header(request.headers, self._names.time_left)
        try:
            return float(stated) if stated is not None else route.timeout_ms
        except ValueError:
            return route.timeout_ms

    async def _carry(self, progress: _Progress) -> Response:
        work = progress.work
        self._find_budget(work).note_request(work.arrived_ms)
        if work.ends_ms - work.arrived_ms < SHORTEST_MS:
            return self._refuse_work(progress, "too little time left")
        pending = {self._start(progress)}
        try:
            return await self._await_answer(progress, pending)
        finally:
            for task in pending:
                task.cancel()

    async def _await_answer(
        self, progress: _Progress, pending: set["asyncio.Task[SendResult | None]"]
    ) -> Response:
        work = progress.work
        hedge_ms = work.arrived_ms + HEDGE_SHARE * work.route.objective_ms
        while pending:
            now = self._clock.read()
            end_ms = work.ends_ms + (LAST_WORD_MS if progress.sends else 0.0)
            if now >= end_ms:
                return self._give_up(progress)
            is_early = now < hedge_ms and work.route.is_idempotent
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
                if result.ending is Ending.SUCCESS:
                    assert result.answer is not None
                    return self._pass_on(result.answer)
            if not pending and self._may_repeat(progress):
                pending.add(self._start(progress))
            elif not done and is_early and self._can_repeat(progress):
                pending.add(self._start(progress, is_hedge=True))
        return self._conclude(progress)

    def _start(
        self, progress: _Progress, *, is_hedge: bool = False
    ) -> "asyncio.Task[SendResult | None]":
        attempt = self._hedge(progress) if is_hedge else self._try(progress)
        return asyncio.get_running_loop().create_task(attempt)

    async def _try(self, progress: _Progress) -> SendResult | None:
        placement = await self._placer.place(progress.work, exclude=progress.tried)
        if placement.target is None or placement.lease is None:
            progress.refusal = placement.reason
            return None
        return await self._send(progress, placement.target, placement.lease)

    async def _hedge(self, progress: _Progress) -> SendResult | None:
        work = progress.work
        placement = await self._placer.find_spare(work, exclude=progress.tried)
        if placement is None or placement.target is None or placement.lease is None:
            return None
        if not self._may_repeat(progress, is_hedge=True):
            self._placer.give_back(placement)
            return None
        return await self._send(progress, placement.target, placement.lease)

    async def _send(
        self, progress: _Progress, target: Target, lease: Lease
    ) -> SendResult:
        work = progress.work
        progress.tried.add(target.name)
        progress.sends += 1
        self._meter.count("sends", service=work.service.name)
        send = self._send_once(progress, target, lease)
        if work.route.is_idempotent:
            return await send
        # Once sent, it is not cut off: it may be running.
        task = asyncio.get_running_loop().create_task(self._bound(send, work))
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    async def _send_once(
        self, progress: _Progress, target: Target, lease: Lease
    ) -> SendResult:
        work = progress.work
        try:
            return await self._sender.send(work, progress.request, target, lease)
        finally:
            self._placer.note_freed(work, target)

    async def _bound(
        self, send: Coroutine[Any, Any, SendResult], work: Work
    ) -> SendResult:
        left_ms = max(0.0, work.ends_ms - self._clock.read()) + DETACHED_MS
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await send
        except TimeoutError:
            return SendResult(ending=Ending.UNKNOWN, target="", reason="no answer")

    def _can_repeat(self, progress: _Progress) -> bool:
        work = progress.work
        if not progress.sends or progress.sends >= work.route.max_attempts:
            return False
        is_clean = all(r.ending is Ending.NOT_RUN for r in progress.results)
        return work.route.is_idempotent or (
            is_clean and len(progress.results) == progress.sends
        )

    def _may_repeat(self, progress: _Progress, *, is_hedge: bool = False) -> bool:
        if progress.refusal or not self._can_repeat(progress):
            return False
        now = self._clock.read()
        if progress.work.ends_ms - now < SHORTEST_MS:
            return False
        instances = self._count_instances()
        is_allowed = self._find_budget(progress.work).take(now, instances)
        kind = "hedges" if is_hedge else "retries"
        outcome = kind if is_allowed else f"{kind}_over_budget"
        self._meter.count("repeats", kind=outcome)
        return is_allowed

    def _find_budget(self, work: Work) -> RetryBudget:
        name = work.service.name
        if name not in self._budgets:
            self._budgets[name] = RetryBudget(self._retry_terms)
        return self._budgets[name]

    def _give_up(self, progress: _Progress) -> Response:
        if progress.sends == 0:
            return self._refuse_work(progress, "no target in time")
        return _answer_text(GATEWAY_TIMEOUT, "the target did not answer in time")

    def _conclude(self, progress: _Progress) -> Response:
        failures = [r for r in progress.results if r.ending is Ending.FAILURE]
        if failures and failures[-1].answer is not None:
            return self._pass_on(failures[-1].answer)
        if any(r.ending is Ending.UNKNOWN for r in progress.results):
            return _answer_text(BAD_GATEWAY, "the target gave no whole answer")
        return self._refuse_work(progress, progress.refusal or "targets rejected it")

    def _pass_on(self, answer: Response) -> Response:
        dropped = {self._names.load, self._names.target, "connection", "keep-alive"}
        dropped |= {"transfer-encoding", "content-length"}
        headers = tuple(h for h in answer.headers if h[0] not in dropped)
        return attrs.evolve(answer, headers=headers)

    def _refuse_work(self, progress: _Progress, reason: str) -> Response:
        progress.refusal = reason
        work = progress.work
        if progress.results:
            unit_ms, shares = work.route.objective_ms, REJECTED_SHARES
        else:
            left_ms = work.leaves_ms - self._clock.read()
            unit_ms, shares = max(0.0, left_ms), RETURN_SHARES
        return self._build_refusal(reason, (shares[0] * unit_ms, shares[1] * unit_ms))

    def _refuse(
        self, request: Request, reason: str, bounds_ms: tuple[float, float]
    ) -> Response:
        self._note(request, UNAVAILABLE, reason)
        return self._build_refusal(reason, bounds_ms)

    def _build_refusal(self, reason: str, bounds_ms: tuple[float, float]) -> Response:
        after_s = self._rng.uniform(*bounds_ms) / 1000
        answer = _answer_text(UNAVAILABLE, reason)
        header = ("retry-after", f"{after_s:.3f}")
        return attrs.evolve(answer, headers=(*answer.headers, header))

    def _note(
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

    def _report(self, progress: _Progress, answer: Response, version: int) -> None:
        work = progress.work
        took_ms = self._clock.read() - work.arrived_ms
        self._meter.count("requests", status=str(answer.status))
        self._meter.observe("request_ms", took_ms, service=work.service.name)
        self._log.write(
            "request",
            request_id=work.request_id,
            status=answer.status,
            route=work.route.name,
            service=work.service.name,
            version=version,
            took_ms=round(took_ms, 1),
            left_ms=round(work.ends_ms - work.arrived_ms),
            reason=progress.refusal,
            sends=[
                [r.target, r.ending.value, round(r.took_ms, 1), r.reason]
                for r in progress.results
            ],
            tried=sorted(progress.tried),
        )


def _answer_text(status: int, text: str) -> Response:
    return Response(
        status=status,
        headers=(("content-type", "text/plain"),),
        body=text.encode(),
    )
