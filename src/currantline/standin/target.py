"""Stand-in for targets, with load shedding, draining, cold starts and faults.

One process serves many targets, each on its own address.
"""

import asyncio
import contextlib
import json
import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import urlsplit

import attrs
import eliot
from absl import app, flags
from eliot import log_message

from currantline.clock import Clock, MonotonicClock
from currantline.configuration import Target, parse_configuration
from currantline.wire import (
    HttpConnection,
    HttpServer,
    Request,
    Response,
    find_header,
    json_response,
)

__all__ = ["Behaviour", "StandinTarget"]

MEAN_SERVICE_MS = 8.0
LONG_FACTOR = 25.0

# Backlog of a target; requests beyond its slots and backlog are shed.
BACKLOG_PER_SLOT = 1

# A cold target is slower by this factor and warms up over this many requests.
COLD_FACTOR = 5.0
COLD_REQUESTS = 50


@attrs.define(kw_only=True)
class Behaviour:
    """State of a target and its active faults.

    The field names are the keys of the JSON body at ``/standin/behaviour``.

    Parameters
    ----------
    state : str
        ``starting``, ``ready`` or ``draining``.
    slow_factor : float
        Factor applied to service times.
    rejects : bool
        Whether every request is shed immediately.
    is_silent : bool
        Whether requests on the connections open now get no response. Connections
        opened later work.
    truncates : bool
        Whether responses are truncated.
    repeats : bool
        Whether every response is sent twice.
    is_late : bool
        Whether requests are executed despite deadlines and closed connections.
    is_cold : bool
        Whether the target is reset to a cold start.
    load_lag_ms : float
        Maximum age of the reported load.
    lies : bool
        Whether the reported load is always that of an idle, ready target.
    """

    state: str = "ready"
    slow_factor: float = 1.0
    rejects: bool = False
    is_silent: bool = False
    truncates: bool = False
    repeats: bool = False
    is_late: bool = False
    is_cold: bool = False
    load_lag_ms: float = 0.0
    lies: bool = False


async def sleep_ms(duration_ms: float) -> None:
    """Sleep for a duration in milliseconds."""
    await asyncio.sleep(duration_ms / 1000)


class TargetService(HttpServer):
    """HTTP server of a target, including its connection faults."""

    def __init__(self, target: "StandinTarget") -> None:
        super().__init__(target.handle)
        self._target = target
        self._open_connections: set[HttpConnection] = set()
        self._serving: set[HttpConnection] = set()
        self._blackholed: set[HttpConnection] = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections that have carried a request."""
        return len(self._open_connections)

    def blackhole(self) -> None:
        """Stop responding on the connections that are open now."""
        self._blackholed |= self._open_connections

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in self._open_connections - self._serving:
            connection.close()

    async def exchange(self, connection: HttpConnection, request: Request) -> None:
        """Respond to one request, subject to the active faults."""
        self._remove_lost()
        self._open_connections.add(connection)
        self._serving.add(connection)
        if self._target.behaviour.is_late:
            connection.on_lost = None
        try:
            response = await self._target.handle(request)
            if connection in self._blackholed:
                await asyncio.Event().wait()
            await self._write(connection, response)
        finally:
            self._serving.discard(connection)

    async def _write(self, connection: HttpConnection, response: Response) -> None:
        behaviour = self._target.behaviour
        if behaviour.state == "draining":
            headers = (*response.headers, ("connection", "close"))
            response = attrs.evolve(response, headers=headers)
        if behaviour.truncates:
            partial_body = response.body[: len(response.body) // 2]
            connection.write(_render(response, len(response.body), partial_body))
            connection.close()
            return
        connection.write_response(response)
        if behaviour.repeats:
            connection.write(_render(response, len(response.body), response.body))
        if not connection.is_lost:
            await connection.drain()

    def _remove_lost(self) -> None:
        lost = {each for each in self._open_connections if each.is_lost}
        self._open_connections -= lost
        self._blackholed -= lost


class StandinTarget:
    """A target with simulated service times and faults.

    Parameters
    ----------
    target : Target
        Name, address and slots.
    rng : random.Random
        Source of service times.
    clock : Clock, optional
        Source of time for probes and load reports.
    work : callable, optional
        Coroutine function that executes a request; it is called with the service
        time in milliseconds.
    """

    def __init__(
        self,
        target: Target,
        rng: random.Random,
        *,
        clock: Clock | None = None,
        work: Callable[[float], Awaitable[None]] = sleep_ms,
    ) -> None:
        self.target = target
        self.behaviour = Behaviour()
        self.request_counts: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()
        self.probe_times_ms: list[float] = []
        # Called with the path and the identifier of each incoming request.
        self.on_arrival: Callable[[str, str], None] = lambda path, request_id: None
        self.service = TargetService(self)
        self._rng = rng
        self._clock = clock or MonotonicClock()
        self._do_work = work
        self._slots = asyncio.Semaphore(target.slots)
        self._in_flight = 0
        self._warm_requests = COLD_REQUESTS
        self._last_report = (float("-inf"), "")

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Replace the behaviour and apply its immediate effects."""
        if behaviour.is_silent and not self.behaviour.is_silent:
            self.service.blackhole()
        if behaviour.is_cold and not self.behaviour.is_cold:
            self._warm_requests = 0
        if behaviour.state == "draining":
            self.service.close_idle()
        self.behaviour = behaviour

    async def handle(self, request: Request) -> Response:
        """Respond to one request."""
        path = urlsplit(request.target).path
        request_id = find_header(request.headers, "currantline-request-id") or ""
        self.on_arrival(path, request_id)
        if path == "/health":
            self.probe_times_ms.append(self._clock.read())
            return self._make_response(200, b"")
        if path == "/standin/seen":
            return json_response(dict(self.request_counts))
        if path == "/standin/behaviour":
            self.set_behaviour(Behaviour(**json.loads(request.body)))
            return json_response({})
        return await self._serve_request(request, path, request_id)

    async def _serve_request(
        self, request: Request, path: str, request_id: str
    ) -> Response:
        self.request_counts[request_id] += 1
        log_message(
            "target:request", request_id=request_id, target=self.target.name, path=path
        )
        capacity = self.target.slots * (1 + BACKLOG_PER_SLOT)
        rejects_all = self.behaviour.rejects or self.behaviour.state != "ready"
        if rejects_all or self._in_flight >= capacity:
            return self._make_response(503, b"", ("target-shed", "1"))
        self._in_flight += 1
        try:
            async with asyncio.timeout(self._read_timeout_s(request)), self._slots:
                await self._do_work(self._draw_service_ms(path))
        except TimeoutError:
            return self._make_response(504, b"", ("target-gave-up", "1"))
        except asyncio.CancelledError:
            self.cancelled[request_id] += 1
            raise
        finally:
            self._in_flight -= 1
        return self._make_response(200, f"{request_id} {path}".encode())

    def _read_timeout_s(self, request: Request) -> float | None:
        timeout_ms = find_header(request.headers, "currantline-timeout-ms")
        return (
            None
            if timeout_ms is None or self.behaviour.is_late
            else int(timeout_ms) / 1000
        )

    def _draw_service_ms(self, path: str) -> float:
        mean = MEAN_SERVICE_MS * (LONG_FACTOR if path.startswith("/long") else 1.0)
        warm_share = min(1.0, self._warm_requests / COLD_REQUESTS)
        self._warm_requests += 1
        factor = COLD_FACTOR + (1.0 - COLD_FACTOR) * warm_share
        return self._rng.expovariate(1 / mean) * self.behaviour.slow_factor * factor

    def _make_response(
        self, status: int, body: bytes, *headers: tuple[str, str]
    ) -> Response:
        load = ("target-load", self._report_load())
        return Response(status=status, headers=(load, *headers), body=body)

    def _report_load(self) -> str:
        if self.behaviour.lies:
            return f"in-flight=0, slots={self.target.slots}, state=ready"
        now = self._clock.read()
        if now - self._last_report[0] >= self.behaviour.load_lag_ms:
            load = (
                f"in-flight={self._in_flight}, slots={self.target.slots},"
                f" state={self.behaviour.state}"
            )
            self._last_report = (now, load)
        return self._last_report[1]


def _render(response: Response, length: int, body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {response.status} OK", f"content-length: {length}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def serve(path: str, seed: int) -> None:
    """Serve all targets of a configuration until the process is stopped."""
    configuration = parse_configuration(
        Path(path).read_text(encoding="utf-8"), source=path
    )
    for service in configuration.services.values():
        for target in service.targets:
            rng = random.Random(f"{seed} {target.name}")
            await StandinTarget(target, rng).service.start(target.address)
    await asyncio.Event().wait()


def main(_: list[str]) -> None:
    """Run the targets as a process that logs to standard output."""
    eliot.to_file(sys.stdout)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(flags.FLAGS.configuration, flags.FLAGS.seed))


if __name__ == "__main__":
    flags.DEFINE_string(
        "configuration",
        None,
        "Path of the configuration that names the targets.",
        required=True,
    )
    flags.DEFINE_integer("seed", 1, "Seed of the service times.")
    app.run(main)
