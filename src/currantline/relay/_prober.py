"""Probes the load of targets on the connections that requests will use."""

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
from currantline.placement import (
    Candidate,
    LoadReport,
    Target,
    find_unavailability,
    parse_load_header,
)
from currantline.relay._availability_reader import AvailabilityReader
from currantline.relay._limit_reader import RateLimitReader
from currantline.relay._names import HeaderNames
from currantline.relay._pool import ConnectionPool, Lease
from currantline.relay._warmup_reader import WarmupReader
from currantline.telemetry import EventLog, Meter
from currantline.wire import (
    MAX_HEALTH_CHECK_BYTES,
    Request,
    Response,
    find_header,
)

__all__ = ["LoadProber", "ProbeResult"]

# Time-out of a health check in milliseconds. A healthy target responds within 1 ms.
PROBE_TIMEOUT_MS = 500.0

# Time in milliseconds for which probe results are collected. It covers two round trips
# between data centres, one for a new connection and one for the response.
COLLECT_TIMEOUT_MS = 12.0

# Additional time in milliseconds to wait for the first result if there is none by then.
FIRST_RESULT_TIMEOUT_MS = 60.0

# Time for which a target is not probed after a failed health check, in milliseconds.
FAILED_PROBE_PAUSE_MS = 100.0

# Weight of a failed health check relative to a failed request.
FAILED_PROBE_WEIGHT = 0.4


@attrs.define(eq=False)
class ProbeResult:
    """Load of a probed target and the connection to it.

    Parameters
    ----------
    candidate : Candidate
        Target and load report.
    lease : Lease
        Connection that the probe has just verified.
    """

    candidate: Candidate
    lease: Lease


class LoadProber:
    """Probes targets for their load.

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
    warmup_reader : WarmupReader
        Reads for how long targets warm up.
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
        limit_reader: RateLimitReader,
        availability_reader: AvailabilityReader,
        warmup_reader: WarmupReader,
        clock: Clock,
        meter: Meter,
        log: EventLog,
    ) -> None:
        self._pool = pool
        self._names = names
        self._limit_reader = limit_reader
        self._availability_reader = availability_reader
        self._warmup_reader = warmup_reader
        self._clock = clock
        self._meter = meter
        self._log = log
        self._tasks: set[asyncio.Task[ProbeResult | None]] = set()

    async def probe(
        self, targets: Sequence[Target], health_path: str
    ) -> list[ProbeResult]:
        """Probe targets and return the results that arrived in time.

        Each lease must be released or used to send a request.
        """
        tasks = [self._start(target, health_path) for target in targets]
        taken: list[ProbeResult] = []
        try:
            await asyncio.wait(tasks, timeout=COLLECT_TIMEOUT_MS / 1000)
            pending = [task for task in tasks if not task.done()]
            if pending and not _collect(tasks):
                await asyncio.wait(
                    pending,
                    timeout=FIRST_RESULT_TIMEOUT_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            taken = _collect(tasks)
            return taken
        finally:
            self._release_later(tasks, taken)

    def is_connected(self, target: Target) -> bool:
        """Return whether there is an idle connection to a target."""
        return self._pool.has_idle(target.address)

    def is_verified(self, target: Target, *, max_idle_ms: float) -> bool:
        """Return whether an idle connection has carried a response recently."""
        return self._pool.has_idle(target.address, max_idle_ms=max_idle_ms)

    async def connect(self, target: Target, *, max_idle_ms: float) -> Lease | None:
        """Return a connection to a target without a probe, or None if it failed.

        The connection is new or has carried a response within `max_idle_ms`.
        """
        try:
            return await self._pool.acquire(target.address, max_idle_ms=max_idle_ms)
        except TargetConnectError as error:
            self._record_failure(target, str(error), took_ms=0.0)
            return None

    def release_unused(self, probed: Iterable[ProbeResult]) -> None:
        """Return unused connections to the pool."""
        for probe_result in probed:
            self._pool.release(probe_result.lease)

    def release(self, lease: Lease) -> None:
        """Return one unused connection to the pool."""
        self._pool.release(lease)

    def _start(self, target: Target, path: str) -> "asyncio.Task[ProbeResult | None]":
        task = asyncio.get_running_loop().create_task(self._probe(target, path))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _release_later(
        self,
        tasks: Iterable["asyncio.Task[ProbeResult | None]"],
        taken: list[ProbeResult],
    ) -> None:
        def release_late(task: "asyncio.Task[ProbeResult | None]") -> None:
            probed = None if task.cancelled() else task.result()
            if probed is not None and probed not in taken:
                self.release_unused([probed])

        for task in tasks:
            task.add_done_callback(release_late)

    async def _probe(self, target: Target, path: str) -> ProbeResult | None:
        requested_ms = self._clock.read()
        self._meter.count("health_checks")
        lease: Lease | None = None
        reason = ""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
                lease = await self._pool.acquire(target.address)
                requested_ms = self._clock.read()
                if find_unavailability(target, requested_ms) is not None:
                    return None
                request = Request(
                    method="GET", target=path, headers=(("host", target.address),)
                )
                lease.connection.write_request(request)
                response = await lease.connection.read_response(
                    max_bytes=MAX_HEALTH_CHECK_BYTES
                )
                report = self._parse_report(target, lease, response, requested_ms)
                if self._is_refusal(response):
                    lease.has_carried_refusal = True
                target.last_report = report
                if not self._pool.prepare_reuse(lease, response):
                    lease = await self._pool.acquire(target.address)
            probed = ProbeResult(Candidate(target, report), lease)
            lease = None
            return probed
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
        self._record_failure(target, reason, self._clock.read() - requested_ms)
        return None

    def _record_failure(self, target: Target, reason: str, took_ms: float) -> None:
        now = self._clock.read()
        # A target resets connections above its limit, which is lower while it is full.
        target.skip_until_ms = now + FAILED_PROBE_PAUSE_MS
        target.passive_health.record_failure(now, FAILED_PROBE_WEIGHT)
        self._meter.count("health_check_failures")
        self._log.write(
            "health_check_failed",
            target=target.name,
            reason=reason,
            took_ms=round(took_ms, 1),
        )

    def _is_refusal(self, response: Response) -> bool:
        return find_header(response.headers, self._names.not_run) is not None

    def _is_repeated(self, response: Response, lease: Lease) -> bool:
        names = (self._names.signature, self._names.request_id)
        is_signed = any(find_header(response.headers, name) for name in names)
        return is_signed or (lease.has_carried_request and self._is_refusal(response))

    def _parse_report(
        self, target: Target, lease: Lease, response: Response, requested_ms: float
    ) -> LoadReport:
        name = find_header(response.headers, self._names.target)
        if name is not None and name != target.name:
            target.is_address_reused = True
            self._log.write("target_replaced", target=target.name, found=name)
            raise ProtocolError(f"{name} responded at the address of {target.name}")
        self._availability_reader.read(target, response)
        if name is None and self._is_repeated(response, lease):
            raise ProtocolError("received a late response to an earlier request")
        self._limit_reader.read(target, response, is_success=False)
        self._warmup_reader.read(target, response, requested_ms)
        took_ms = self._clock.read() - requested_ms
        is_healthy = response.status == 200
        load = find_header(response.headers, self._names.load)
        if load is None:
            return LoadReport(
                running=len(target.send_times_ms),
                waiting=0,
                slots=max(1, target.published.slots),
                requested_ms=requested_ms + took_ms,
                took_ms=took_ms,
                is_healthy=is_healthy,
            )
        running, waiting, slots, slowness = parse_load_header(load)
        return LoadReport(
            running=running,
            waiting=waiting,
            slots=slots,
            slowness=slowness,
            requested_ms=requested_ms,
            took_ms=took_ms,
            is_healthy=is_healthy,
        )


def _collect(tasks: Iterable["asyncio.Task[ProbeResult | None]"]) -> list[ProbeResult]:
    results = [task.result() for task in tasks if task.done() and not task.cancelled()]
    return [probed for probed in results if probed is not None]
