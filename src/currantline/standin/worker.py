"""Stand-in for a target of the platform, with load reports and fault injection."""

import asyncio
from collections.abc import Callable

import attrs

from currantline.relay import HeaderNames
from currantline.wire import Request, Response, find_header

__all__ = ["StandinWorker"]

HEALTH_PATH = "/health"

# A target that warms up is slower by this factor.
COLD_FACTOR = 2.0


@attrs.define(eq=False, kw_only=True)
class StandinWorker:
    """A target that records the requests it executes.

    Parameters
    ----------
    name : str
        Name of the target.
    header_names : HeaderNames
        Header names of the platform.
    work_ms : float
        Execution time of a request in milliseconds.
    slots : int
        Number of concurrent requests; further ones are rejected.
    slowness : int
        Slowness of the host in percent, as reported in the load header.
    is_rejecting : bool
        Whether it rejects all requests.
    is_losing : bool
        Whether it executes requests but never responds.
    is_failing : bool
        Whether it responds to every request with status 500.
    cold_until_ms : float
        Time of the loop until which it warms up and is 2 times slower, in milliseconds.
    extra_headers : tuple
        Further headers of all its responses, none by default.
    received : int
        Number of requests and health checks that it received.
    started_ids : list of str
        Identifiers of the requests that it started to execute, in order.
    time_left_ms : list of float
        Time left stated by each of them; NaN if there was none.
    cancelled : list of str
        Identifiers of the requests that were cancelled by a closed connection.
    on_start : callable
        Called with the identifier of each request that starts to execute.
    on_reject : callable
        Called with the identifier of each request that is rejected.
    """

    name: str
    header_names: HeaderNames
    work_ms: float = 50.0
    slots: int = 2
    slowness: int = 100
    is_rejecting: bool = False
    is_losing: bool = False
    is_failing: bool = False
    cold_until_ms: float = 0.0
    extra_headers: tuple[tuple[str, str], ...] = ()
    running: int = 0
    health_checks: int = 0
    received: int = 0
    started_ids: list[str] = attrs.field(factory=list)
    time_left_ms: list[float] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    on_start: Callable[[str], object] = lambda request_id: None
    on_reject: Callable[[str], object] = lambda request_id: None

    async def handle(self, request: Request) -> Response:
        """Respond to a request or a health check."""
        self.received += 1
        names = self.header_names
        if request.target == HEALTH_PATH:
            self.health_checks += 1
            headers = (*self._list_own_headers(), self._report_load())
            if self.cold_until_ms:
                left_ms = str(int(self.find_warmup_left_ms()))
                headers = (*headers, (names.warmup, left_ms))
            return Response(status=200, headers=headers)
        request_id = find_header(request.headers, names.request_id) or ""
        expected = find_header(request.headers, names.expected_target)
        echo = (names.request_id, request_id)
        if expected not in (None, self.name):
            return Response(status=421, headers=(*self._list_own_headers(), echo))
        if self.is_rejecting or self.running >= self.slots:
            self.on_reject(request_id)
            not_run = (names.not_run, "1")
            headers = (*self._list_own_headers(), echo, not_run, self._report_load())
            return Response(status=503, headers=headers)
        await self._run(request, request_id)
        signature = (names.signature, f"{self.name}.{request_id}")
        load = self._report_load(answered=1)
        headers = (*self._list_own_headers(), echo, signature, load)
        status = 500 if self.is_failing else 200
        return Response(status=status, headers=headers, body=request.target.encode())

    def warm_up(self, duration_ms: float) -> None:
        """Turn cold without notice."""
        self.cold_until_ms = asyncio.get_running_loop().time() * 1000 + duration_ms

    def find_warmup_left_ms(self) -> float:
        """Return the remaining warm-up time in milliseconds."""
        now = asyncio.get_running_loop().time() * 1000
        return max(0.0, self.cold_until_ms - now)

    def _list_own_headers(self) -> tuple[tuple[str, str], ...]:
        return ((self.header_names.target, self.name), *self.extra_headers)

    def _report_load(self, *, answered: int = 0) -> tuple[str, str]:
        load = f"{self.running + answered},0,{self.slots},{self.slowness}"
        return self.header_names.load, load

    async def _run(self, request: Request, request_id: str) -> None:
        self.started_ids.append(request_id)
        self.on_start(request_id)
        left = find_header(request.headers, self.header_names.time_left)
        self.time_left_ms.append(float(left or "nan"))
        self.running += 1
        try:
            factor = COLD_FACTOR if self.find_warmup_left_ms() else 1.0
            await asyncio.sleep(factor * self.work_ms / 1000)
            if self.is_losing:
                await asyncio.get_running_loop().create_future()
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running -= 1
