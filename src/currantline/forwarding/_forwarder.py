"""Carrying one request to a target and deciding its outcome."""

from collections.abc import Callable

import attrs

from currantline.admission import WorkItem
from currantline.clock import Clock
from currantline.exceptions import (
    BodyTooLargeError,
    ConnectionLimitError,
    ProtocolError,
    RequestRefusedError,
    TargetConnectError,
    TargetTimeoutError,
    WireError,
)
from currantline.forwarding._exchange import Exchange
from currantline.forwarding._observation import (
    AttemptObservation,
    AttemptObserver,
    RetryBudget,
)
from currantline.forwarding._placement import AttemptResult, Permit, Placement
from currantline.forwarding._pool import ConnectionPool, PooledConnection
from currantline.forwarding._progress import AnswerTimer, Completion, Progress
from currantline.forwarding._timer import Schedule, schedule_on_loop
from currantline.load import LoadReport, parse_load
from currantline.wire import Request, Response, find_header, strip_hop_by_hop

__all__ = ["ForwarderOptions", "NoRetries", "RequestForwarder"]


@attrs.frozen(kw_only=True)
class ForwarderOptions:
    """Limits of carrying.

    Parameters
    ----------
    max_sends : int
        Most sends of one idempotent request.
    max_placements : int
        Most slots that one request takes, one after the other.
    try_share : float
        Part of the remaining time after which an idempotent request gives up
        one target for another. Half leaves the second target as much time.
    permit_ms : float
        Longest time from a permit to its use. A process that was paused between
        the two knows nothing of the target any more.
    proven_ms : float
        Longest time since a connection worked, for an idempotent request.
    proven_non_idempotent_ms : float
        The same for a non-idempotent request, which cannot be repeated if the
        connection has gone silent.
    max_body_bytes : int
        Largest response body accepted.
    """

    max_sends: int = 3
    max_placements: int = 5
    try_share: float = 0.5
    permit_ms: float = 500.0
    proven_ms: float = 15_000.0
    proven_non_idempotent_ms: float = 1_000.0
    max_body_bytes: int = 16 * 1024 * 1024


class NoRetries:
    """Retry budget that allows nothing."""

    def record_attempt(self, now: float) -> None:
        """Ignore an attempt."""

    def spend(self, now: float) -> bool:
        """Refuse a retry."""
        return False


class RequestForwarder:
    """Carries requests to targets.

    Parameters
    ----------
    placement : Placement
        Source of permits.
    clock : Clock
        Source of time.
    options : ForwarderOptions, optional
        Limits.
    find_budget : callable, optional
        Returns the retry budget of a service; without it nothing that was sent
        is retried.
    observer : AttemptObserver, optional
        Learns how each attempt ended.
    schedule : Schedule, optional
        Source of timers.
    """

    def __init__(
        self,
        placement: Placement,
        *,
        clock: Clock,
        options: ForwarderOptions | None = None,
        find_budget: Callable[[str], RetryBudget] | None = None,
        observer: AttemptObserver | None = None,
        schedule: Schedule = schedule_on_loop,
    ) -> None:
        self.malformed_loads = 0
        self._placement = placement
        self._clock = clock
        self._options = options or ForwarderOptions()
        self._find_budget = find_budget or (lambda service: NoRetries())
        self._observer = observer
        self._schedule = schedule
        self._pools: dict[str, ConnectionPool] = {}

    async def forward(self, work: WorkItem, request: Request) -> Completion:
        """Carry a request and return its outcome.

        Parameters
        ----------
        work : WorkItem
            What dispatch needs to know.
        request : Request
            The request, with the path as the target expects it.

        Returns
        -------
        Completion
            Outcome and answer.
        """
        progress = Progress(
            work=work,
            request=request,
            exchange=Exchange(idempotent=work.idempotent, deadline=work.deadline),
            budget=self._find_budget(work.service),
        )
        try:
            await self._run(progress)
            return progress.complete()
        finally:
            if not progress.exchange.is_ended:
                progress.exchange.abandon()

    def close(self) -> None:
        """Close all connections without an exchange."""
        for pool in self._pools.values():
            pool.close()

    def keep_targets(self, addresses: set[str]) -> None:
        """Close idle connections to targets that are not configured any more."""
        for address in self._pools.keys() - addresses:
            self._pools.pop(address).close()

    async def _run(self, progress: Progress) -> None:
        while True:
            progress.exchange.queue()
            try:
                permit = await self._acquire(progress)
            except RequestRefusedError as error:
                progress.reason = (
                    progress.reason if progress.exchange.sends else error.reason
                )
                return
            progress.exchange.assign()
            progress.placements += 1
            progress.is_long = permit.is_long
            progress.result = await self._use(progress, permit)
            progress.avoid |= {permit.target}
            if not self._may_repeat(progress):
                return

    async def _acquire(self, progress: Progress) -> Permit:
        started = self._clock.read()
        try:
            return await self._placement.acquire(
                attrs.evolve(progress.work, avoid=progress.avoid)
            )
        finally:
            progress.waited_ms += self._clock.read() - started

    def _may_repeat(self, progress: Progress) -> bool:
        now = self._clock.read()
        if not self._has_attempts(progress) or now >= progress.work.deadline:
            return False
        if progress.result is AttemptResult.TIMED_OUT:
            return progress.is_retry_paid
        if progress.result not in REPEATABLE or progress.is_final:
            return False
        # Only a send after the first one costs from the budget: an attempt
        # without a byte written puts no load on any target.
        return not progress.exchange.sends or progress.budget.spend(now)

    def _has_attempts(self, progress: Progress) -> bool:
        sends = progress.exchange.sends
        if progress.placements >= self._options.max_placements:
            return False
        return not sends or (
            progress.work.idempotent and sends < self._options.max_sends
        )

    async def _use(self, progress: Progress, permit: Permit) -> AttemptResult:
        started = self._clock.read()
        result = AttemptResult.CANCELLED
        progress.begin()
        try:
            result = await self._try(progress, permit)
            return result
        finally:
            now = self._clock.read()
            duration_ms = now - (
                progress.sent if progress.sent is not None else started
            )
            if progress.sent is not None:
                progress.target_ms += duration_ms
            self._placement.release(permit, result, duration_ms=now - started)
            self._tell(progress, permit, result, duration_ms)

    async def _try(self, progress: Progress, permit: Permit) -> AttemptResult:
        pool = self._find_pool(permit)
        options = self._options
        granted = self._clock.read() if permit.granted is None else permit.granted
        try:
            connection = await pool.acquire(
                proven_within_ms=options.proven_ms
                if progress.work.idempotent
                else options.proven_non_idempotent_ms,
                deadline=progress.work.deadline,
            )
        except ConnectionLimitError:
            progress.reason = progress.reason if progress.exchange.sends else "deadline"
            return AttemptResult.UNUSED
        except TargetConnectError:
            progress.reason = (
                "unreachable" if not progress.exchange.sends else progress.reason
            )
            return AttemptResult.UNREACHABLE
        try:
            data = connection.http.encode_request(self._prepare(progress))
        except ProtocolError:
            pool.discard(connection)
            progress.reason, progress.is_final = "bad-request", True
            return AttemptResult.UNUSED
        now = self._clock.read()
        if now >= progress.work.deadline:
            pool.discard(connection)
            progress.reason = progress.reason if progress.exchange.sends else "deadline"
            return AttemptResult.UNUSED
        if now - granted > options.permit_ms:
            pool.discard(connection)
            progress.reason = progress.reason if progress.exchange.sends else "paused"
            return AttemptResult.EXPIRED
        # No suspension point stands between the checks of the time above and
        # the write, so a process that was paused does not send a late request.
        progress.start_send(permit, now=now)
        connection.http.write(data)
        return await self._finish(progress, pool, connection)

    async def _finish(
        self, progress: Progress, pool: ConnectionPool, connection: PooledConnection
    ) -> AttemptResult:
        assert progress.sent is not None
        timer = AnswerTimer(
            progress,
            connection.http,
            clock=self._clock,
            schedule=self._schedule,
            share=self._options.try_share if self._has_attempts(progress) else 1.0,
        )
        try:
            answer = await connection.http.read_response()
        except TargetTimeoutError:
            pool.discard_silent(connection, sent=progress.sent)
            progress.reason = "timeout"
            return AttemptResult.TIMED_OUT
        except WireError as error:
            pool.discard(connection)
            progress.is_final = isinstance(error, BodyTooLargeError)
            progress.reason = "too-large" if progress.is_final else "broken"
            return AttemptResult.FAILED
        except BaseException:
            pool.discard(connection)
            raise
        finally:
            timer.cancel()
            connection.http.clear_interruption()
        pool.release(connection)
        return progress.take(answer)

    def _prepare(self, progress: Progress) -> Request:
        remaining_ms = progress.work.deadline - self._clock.read()
        added = (
            ("currantline-request-id", progress.work.request_id),
            ("currantline-timeout-ms", str(max(1, int(remaining_ms)))),
        )
        kept = strip_hop_by_hop(progress.request.headers)
        return attrs.evolve(progress.request, headers=kept + added)

    def _tell(
        self,
        progress: Progress,
        permit: Permit,
        result: AttemptResult,
        duration_ms: float,
    ) -> None:
        load = self._read_load(progress.answer)
        if self._observer is None or result in UNTRIED:
            return
        observation = AttemptObservation(
            result=result,
            sent=progress.sent,
            duration_ms=duration_ms,
            status=progress.answer.status if progress.answer else None,
            load=load,
            is_long=permit.is_long,
        )
        self._observer.observe(permit.target, observation)

    def _read_load(self, answer: Response | None) -> LoadReport | None:
        value = find_header(answer.headers, "target-load") if answer else None
        if value is None:
            return None
        load = parse_load(value)
        self.malformed_loads += load is None
        return load

    def _find_pool(self, permit: Permit) -> ConnectionPool:
        pool = self._pools.get(permit.address)
        if pool is None:
            pool = self._pools[permit.address] = ConnectionPool(
                permit.address,
                limit=permit.connections,
                idle_ms=self._options.proven_ms,
                clock=self._clock,
                schedule=self._schedule,
                max_body_bytes=self._options.max_body_bytes,
            )
        return pool


UNTRIED = frozenset({AttemptResult.UNUSED, AttemptResult.EXPIRED})
REPEATABLE = frozenset(
    {
        AttemptResult.SHED,
        AttemptResult.UNREACHABLE,
        AttemptResult.FAILED,
        AttemptResult.EXPIRED,
    }
)
