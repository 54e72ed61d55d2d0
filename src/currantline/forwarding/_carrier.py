"""Carrying one request to a target and deciding its outcome."""

import asyncio

import attrs

from currantline.admission import Work
from currantline.clock import Clock
from currantline.exceptions import NotRunError, TargetConnectError, WireError
from currantline.forwarding._outcome import Outcome
from currantline.forwarding._placement import AttemptResult, Permit, Placement
from currantline.forwarding._target import ConnectionPool, PooledConnection
from currantline.wire import HOP_BY_HOP, Answer, Request

__all__ = ["Carrier", "Completion"]

# An idle connection may have gone silent; a non-idempotent request cannot be
# repeated, so it uses only a connection that worked within the last second.
PROVEN_IDEMPOTENT_MS = 15000.0
PROVEN_NON_IDEMPOTENT_MS = 1000.0


@attrs.frozen(kw_only=True)
class Completion:
    """How a request ended.

    Parameters
    ----------
    outcome : Outcome
        What the caller may conclude.
    answer : Answer or None
        The target's answer.
    target : str
        Target that the request was sent to, if any.
    reason : str
        Why there is no answer.
    """

    outcome: Outcome
    answer: Answer | None = None
    target: str = ""
    reason: str = ""


class Carrier:
    """Carries requests to targets.

    Parameters
    ----------
    placement : Placement
        Source of permits.
    clock : Clock
        Source of time.
    max_body_bytes : int
        Largest response body accepted.
    """

    def __init__(
        self, placement: Placement, *, clock: Clock, max_body_bytes: int
    ) -> None:
        self._placement = placement
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._pools: dict[str, ConnectionPool] = {}

    async def carry(self, work: Work, request: Request) -> Completion:
        """Carry a request and return its outcome.

        Parameters
        ----------
        work : Work
            What dispatch needs to know.
        request : Request
            The request, with the path as the target expects it.

        Returns
        -------
        Completion
            Outcome and answer.
        """
        try:
            permit = await self._placement.acquire(work)
        except NotRunError as error:
            return Completion(outcome=Outcome.NOT_RUN, reason=error.reason)
        started = self._clock.read()
        result = AttemptResult.CANCELLED
        try:
            completion, result = await self._attempt(work, request, permit)
        finally:
            duration_ms = self._clock.read() - started
            self._placement.release(permit, result, duration_ms=duration_ms)
        return completion

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()

    async def _attempt(
        self, work: Work, request: Request, permit: Permit
    ) -> tuple[Completion, AttemptResult]:
        pool = self._find_pool(permit.address)
        proven_ms = (
            PROVEN_IDEMPOTENT_MS if work.idempotent else PROVEN_NON_IDEMPOTENT_MS
        )
        try:
            connection = await pool.acquire(proven_within_ms=proven_ms)
        except TargetConnectError:
            completion = Completion(outcome=Outcome.NOT_RUN, reason="unreachable")
            return completion, AttemptResult.UNREACHABLE
        remaining_ms = work.deadline - self._clock.read()
        if remaining_ms <= 0:
            pool.release(connection)
            completion = Completion(outcome=Outcome.NOT_RUN, reason="deadline")
            return completion, AttemptResult.UNUSED
        # No suspension point stands between the check of the deadline above and
        # the write, so a process that was paused does not send a late request.
        connection.http.write_request(_prepare(request, work, remaining_ms))
        return await self._finish(pool, connection, permit, remaining_ms)

    async def _finish(
        self,
        pool: ConnectionPool,
        connection: PooledConnection,
        permit: Permit,
        remaining_ms: float,
    ) -> tuple[Completion, AttemptResult]:
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                answer = await connection.http.read_answer()
        except TimeoutError:
            pool.discard(connection)
            return _lose(permit, "timeout"), AttemptResult.TIMED_OUT
        except WireError:
            pool.discard(connection)
            return _lose(permit, "broken"), AttemptResult.FAILED
        except asyncio.CancelledError:
            pool.discard(connection)
            raise
        pool.release(connection)
        completion = Completion(
            outcome=Outcome.ANSWERED, answer=answer, target=permit.target
        )
        return completion, AttemptResult.ANSWERED

    def _find_pool(self, address: str) -> ConnectionPool:
        if address not in self._pools:
            self._pools[address] = ConnectionPool(
                address, clock=self._clock, max_body_bytes=self._max_body_bytes
            )
        return self._pools[address]


def _prepare(request: Request, work: Work, remaining_ms: float) -> Request:
    kept = tuple(
        (name, value)
        for name, value in request.headers
        if name not in HOP_BY_HOP and not name.startswith("currantline-")
    )
    added = (
        ("currantline-request-id", work.request_id),
        ("currantline-timeout-ms", str(int(remaining_ms))),
    )
    return attrs.evolve(request, headers=kept + added)


def _lose(permit: Permit, reason: str) -> Completion:
    return Completion(outcome=Outcome.UNKNOWN, target=permit.target, reason=reason)
