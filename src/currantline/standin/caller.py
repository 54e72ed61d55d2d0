"""Stand-in for callers: asks for addresses, keeps the response, sends requests."""

import asyncio
import json
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from currantline.clock import Clock
from currantline.exceptions import WireError
from currantline.wire import (
    HttpConnection,
    Request,
    Response,
    connect,
    fetch,
    find_header,
)

__all__ = ["ServiceResults", "StandinCaller"]

ATTEMPT_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 0.5
ADDRESS_TIMEOUT_MS = 500.0
MAX_BODY_BYTES = 64 * 1024 * 1024

# A kept connection may be closed by the other side while a request is on its way;
# callers avoid this by not using connections that were idle for longer.
MAX_IDLE_MS = 1000.0


@attrs.define
class CachedAddresses:
    """An address response and the time until which it is kept."""

    addresses: list[str]
    expires: float


@attrs.define
class ServiceResults:
    """Counts and latencies of one service."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    reasons: Counter[str] = attrs.field(factory=Counter)
    mismatches: int = 0
    latency_us: Any = attrs.field(factory=lambda: HdrHistogram(1, 60_000_000, 3))


@attrs.define
class IdleConnection:
    """Connection to an instance and the time of its last use."""

    http: HttpConnection
    used: float


class StandinCaller:
    """Sends requests to services.

    Parameters
    ----------
    instances : list of str
        Caller addresses of instances to ask for addresses.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of choices.
    """

    def __init__(
        self, instances: list[str], *, clock: Clock, rng: random.Random
    ) -> None:
        self._instances = instances
        self._clock = clock
        self._rng = rng
        self._cached_addresses: dict[str, CachedAddresses] = {}
        self._idle_connections: dict[str, list[IdleConnection]] = defaultdict(list)
        self.results: dict[str, ServiceResults] = defaultdict(ServiceResults)
        self.not_run: set[str] = set()
        # Called with each request, its outcome and its response, None without one.
        self.on_end: Callable[[Request, str, Response | None], None] = (
            lambda request, outcome, answer: None
        )

    async def send(self, service: str, method: str, path: str, request_id: str) -> str:
        """Send one request, record its outcome and return the outcome.

        A connection that breaks after the request was sent counts as unknown.
        """
        started = self._clock.read()
        request = Request(
            method=method,
            target=f"/services/{service}{path}",
            headers=(
                ("host", "currantline"),
                ("currantline-request-id", request_id),
            ),
        )
        results = self.results[service]
        try:
            response = await self._send(service, request)
        except WireError as error:
            self._cached_addresses.pop(service, None)
            results.outcomes["unknown"] += 1
            results.reasons[f"caller: {error}"] += 1
            self.on_end(request, "unknown", None)
            return "unknown"
        outcome = find_header(response.headers, "currantline-outcome") or "missing"
        results.outcomes[outcome] += 1
        if outcome == "answered":
            results.latency_us.record_value(int((self._clock.read() - started) * 1000))
            if response.status != 200:
                results.reasons[f"answered with status {response.status}"] += 1
            else:
                expected = f"{request_id} {path}".encode()
                results.mismatches += response.body != expected
        else:
            reason = find_header(response.headers, "currantline-reason") or ""
            results.reasons[f"{outcome}: {reason}"] += 1
        if outcome == "not-run":
            self.not_run.add(request_id)
        if find_header(response.headers, "currantline-refresh"):
            self._cached_addresses.pop(service, None)
        self.on_end(request, outcome, response)
        return outcome

    async def _send(self, service: str, request: Request) -> Response:
        for address in await self._resolve(service):
            connection = await self._connect(address)
            if connection is None:
                continue
            return await self._exchange(address, connection, request)
        raise WireError("no instance could be reached")

    async def _exchange(
        self, address: str, connection: HttpConnection, request: Request
    ) -> Response:
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                connection.write_request(request)
                response = await connection.read_response()
        except TimeoutError as error:
            connection.abort()
            raise WireError("no answer in time") from error
        except WireError:
            connection.abort()
            raise
        if connection.is_reusable:
            connection.start_next_cycle()
            idle = IdleConnection(connection, self._clock.read())
            self._idle_connections[address].append(idle)
        else:
            connection.abort()
        return response

    async def _connect(self, address: str) -> HttpConnection | None:
        idle = self._idle_connections[address]
        while idle:
            latest = idle.pop()
            if latest.used >= self._clock.read() - MAX_IDLE_MS:
                return latest.http
            latest.http.abort()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await connect(address, max_body_bytes=MAX_BODY_BYTES)
        except (OSError, TimeoutError):
            return None

    async def _resolve(self, service: str) -> list[str]:
        known = self._cached_addresses.get(service)
        if known is not None and known.expires > self._clock.read():
            return known.addresses
        request = Request(method="GET", target=f"/v1/addresses/{service}")
        for instance in self._rng.sample(self._instances, len(self._instances)):
            try:
                response = await fetch(instance, request, timeout_ms=ADDRESS_TIMEOUT_MS)
            except WireError:
                continue
            if response.status == 200:
                return self._cache_addresses(service, json.loads(response.body))
        return known.addresses if known is not None else []

    def _cache_addresses(self, service: str, document: Any) -> list[str]:
        addresses = [str(entry["address"]) for entry in document["addresses"]]
        expires = self._clock.read() + float(document["ttl_ms"])
        self._cached_addresses[service] = CachedAddresses(addresses, expires)
        return addresses
