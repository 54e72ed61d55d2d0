"""Stand-in for callers: asks for addresses, keeps the answer, sends requests."""

import asyncio
import json
import random
from collections import Counter, defaultdict

import attrs
from hdrh.histogram import HdrHistogram

from currantline.clock import Clock
from currantline.exceptions import WireError
from currantline.wire import Answer, Request, fetch, find_header

__all__ = ["Addresses", "LoadReport", "StandinCaller"]

ATTEMPT_TIMEOUT_MS = 6000.0
ADDRESS_TIMEOUT_MS = 500.0


@attrs.define
class Addresses:
    """An address answer and the time until which it is kept."""

    addresses: list[str]
    expires: float


@attrs.define
class LoadReport:
    """Counts and latencies of one service."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    mismatches: int = 0
    latency_us: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, 60_000_000, 3)
    )


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
        self._known: dict[str, Addresses] = {}
        self.reports: dict[str, LoadReport] = defaultdict(LoadReport)

    async def send(
        self, service: str, method: str, path: str, request_id: str
    ) -> Answer | None:
        """Send one request and record its outcome.

        Returns
        -------
        Answer or None
            None if the connection broke after the request was sent.
        """
        started = self._clock.read()
        request = Request(
            method=method,
            target=f"/services/{service}{path}",
            headers=(("currantline-request-id", request_id),),
        )
        answer = await self._try(service, request)
        report = self.reports[service]
        if answer is None:
            report.outcomes["unknown"] += 1
            return None
        outcome = find_header(answer.headers, "currantline-outcome") or "missing"
        report.outcomes[outcome] += 1
        if outcome == "answered" and answer.status == 200:
            report.mismatches += answer.body != f"{request_id} {path}".encode()
        report.latency_us.record_value(int((self._clock.read() - started) * 1000))
        if find_header(answer.headers, "currantline-refresh"):
            self._known.pop(service, None)
        return answer

    async def _try(self, service: str, request: Request) -> Answer | None:
        addresses = await self._find(service)
        if not addresses:
            return None
        try:
            return await fetch(addresses[0], request, timeout_ms=ATTEMPT_TIMEOUT_MS)
        except WireError:
            self._known.pop(service, None)
            return None

    async def _find(self, service: str) -> list[str]:
        known = self._known.get(service)
        if known is not None and known.expires > self._clock.read():
            return known.addresses
        question = Request(method="GET", target=f"/v1/addresses/{service}")
        for instance in self._rng.sample(self._instances, len(self._instances)):
            try:
                answer = await fetch(instance, question, timeout_ms=ADDRESS_TIMEOUT_MS)
            except WireError:
                continue
            if answer.status == 200:
                return self._keep(service, json.loads(answer.body))
        return known.addresses if known is not None else []

    def _keep(self, service: str, document: dict[str, object]) -> list[str]:
        entries = document["addresses"]
        assert isinstance(entries, list)
        addresses = [str(entry["address"]) for entry in entries]
        ttl_ms = float(str(document["ttl_ms"]))
        self._known[service] = Addresses(addresses, self._clock.read() + ttl_ms)
        return addresses


async def pause_between(rng: random.Random, rate: float) -> None:
    """Sleep for an exponential time with the given rate per second."""
    await asyncio.sleep(rng.expovariate(rate))
