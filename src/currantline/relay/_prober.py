"""Asks targets for their load on the connections that requests will use."""

import asyncio
from collections.abc import Iterable, Sequence

import attrs

from currantline.clock import Clock
from currantline.exceptions import (
    InvalidValueError,
    ProtocolError,
    TargetConnectError,
    WireError,
)
from currantline.placement import Candidate, Reading, Target, parse_load
from currantline.relay._names import HeaderNames
from currantline.relay._pool import ConnectionPool, Lease
from currantline.telemetry import EventLog, Meter
from currantline.wire import Request, Response, find_header

__all__ = ["Asked", "LoadProber"]

# Longest time that a health check may take in milliseconds. It takes 1 ms at a
# target that is well.
PROBE_TIMEOUT_MS = 500.0

# Time in milliseconds for which answers are awaited before the choice is made among
# those that came: twice a round trip between data centres, a new connection and the
# answer.
COLLECT_MS = 12.0

# Time in milliseconds for which the first answer is awaited if none came by then.
LATE_MS = 60.0

# A target whose health check failed is not asked again for this time, in
# milliseconds.
RESET_PAUSE_MS = 100.0

# Weight of a failed health check against that of a failed request.
PROBE_WEIGHT = 0.4


@attrs.define(eq=False)
class Asked:
    """A target that told its load, and the connection to it.

    Parameters
    ----------
    candidate : Candidate
        Target and reading.
    lease : Lease
        A connection that has just been shown to work.
    """

    candidate: Candidate
    lease: Lease


class LoadProber:
    """Asks targets for their load.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to targets.
    names : HeaderNames
        Header names.
    clock : Clock
        Source of time.
    meter : Meter
        Counts health checks.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        *,
        names: HeaderNames,
        clock: Clock,
        meter: Meter,
        log: EventLog,
    ) -> None:
        self._pool = pool
        self._names = names
        self._clock = clock
        self._meter = meter
        self._log = log
        self._running: set[asyncio.Task[Asked | None]] = set()

    async def ask(self, targets: Sequence[Target], health_path: str) -> list[Asked]:
        """Return the targets that answered in time.

        The caller returns each with `release`, or sends a request on its lease.
        """
        tasks = [self._start(target, health_path) for target in targets]
        taken: list[Asked] = []
        try:
            await asyncio.wait(tasks, timeout=COLLECT_MS / 1000)
            pending = [task for task in tasks if not task.done()]
            if pending and not _collect(tasks):
                await asyncio.wait(
                    pending,
                    timeout=LATE_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            taken = _collect(tasks)
            return taken
        finally:
            self._release_later(tasks, taken)

    def is_connected(self, target: Target) -> bool:
        """Return whether a connection to a target is kept."""
        return self._pool.has_idle(target.address)

    def release(self, asked: Iterable[Asked]) -> None:
        """Give connections back that no request uses."""
        for one in asked:
            self._pool.give_back(one.lease)

    def give_back(self, lease: Lease) -> None:
        """Give one connection back that no request uses."""
        self._pool.give_back(lease)

    def _start(self, target: Target, path: str) -> "asyncio.Task[Asked | None]":
        task = asyncio.get_running_loop().create_task(self._ask(target, path))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def _release_later(
        self, tasks: Iterable["asyncio.Task[Asked | None]"], taken: list[Asked]
    ) -> None:
        def release(task: "asyncio.Task[Asked | None]") -> None:
            asked = None if task.cancelled() else task.result()
            if asked is not None and asked not in taken:
                self.release([asked])

        for task in tasks:
            task.add_done_callback(release)

    async def _ask(self, target: Target, path: str) -> Asked | None:
        asked_ms = self._clock.read()
        self._meter.count("health_checks")
        lease: Lease | None = None
        reason = ""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
                lease = await self._pool.take(target.address)
                asked_ms = self._clock.read()
                request = Request(
                    method="GET", target=path, headers=(("host", target.address),)
                )
                lease.connection.write_request(request)
                answer = await lease.connection.read_response()
                reading = self._read(target, answer, asked_ms)
                if not self._pool.finish(lease, answer):
                    lease = await self._pool.take(target.address)
            asked = Asked(Candidate(target, reading), lease)
            lease = None
            return asked
        except (
            TimeoutError,
            WireError,
            TargetConnectError,
            InvalidValueError,
        ) as error:
            reason = str(error) or "no answer"
        finally:
            if lease is not None:
                self._pool.drop(lease)
        now = self._clock.read()
        # A target resets connections over its limit, which shrinks while it is full.
        target.full_until_ms = now + RESET_PAUSE_MS
        target.standing.note_failure(now, PROBE_WEIGHT)
        self._meter.count("health_check_failures")
        self._log.write(
            "health_check_failed",
            target=target.name,
            reason=reason,
            took_ms=round(now - asked_ms, 1),
        )
        return None

    def _read(self, target: Target, answer: Response, asked_ms: float) -> Reading:
        name = find_header(answer.headers, self._names.target)
        if name is not None and name != target.name:
            target.is_misplaced = True
            self._log.write("target_replaced", target=target.name, found=name)
            raise ProtocolError(f"{name} answers at the address of {target.name}")
        if name is None and find_header(answer.headers, self._names.signature):
            raise ProtocolError("a late answer to an earlier request came")
        took_ms = self._clock.read() - asked_ms
        is_healthy = answer.status == 200
        load = find_header(answer.headers, self._names.load)
        if load is None:
            return Reading(
                running=len(target.sends),
                waiting=0,
                slots=max(1, target.published.slots),
                asked_ms=asked_ms + took_ms,
                took_ms=took_ms,
                is_healthy=is_healthy,
            )
        running, waiting, slots, slowness = parse_load(load)
        return Reading(
            running=running,
            waiting=waiting,
            slots=slots,
            slowness=slowness,
            asked_ms=asked_ms,
            took_ms=took_ms,
            is_healthy=is_healthy,
        )


def _collect(tasks: Iterable["asyncio.Task[Asked | None]"]) -> list[Asked]:
    results = [task.result() for task in tasks if task.done() and not task.cancelled()]
    return [asked for asked in results if asked is not None]
