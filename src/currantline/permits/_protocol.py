"""Exchange of permits and limits between instances over UDP."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import Any, cast

import attrs

from currantline.clock import Clock
from currantline.exceptions import PeerError
from currantline.permits._choice import choose_issuer, format_key, parse_name
from currantline.permits._codec import decode_message, encode_message
from currantline.permits._issuer import PermitIssuer
from currantline.permits._messages import (
    Message,
    Permit,
    PermitRequest,
    PermitResponse,
    Report,
    WaitBounds,
    WarmupPermitRequest,
)
from currantline.permits._warmup_issuer import PERMIT_VALIDITY_MS, WarmupIssuer
from currantline.placement import RateLimit, Target, TargetRegistry
from currantline.telemetry import EventLog, Meter

__all__ = ["PermitProtocol"]

# Time-out for the response of an issuer, in milliseconds: several round trips between
# data centres. Without a permit the request goes to another target.
RESPONSE_TIMEOUT_MS = 50.0

# Time after which a target is tried again whose issuer did not respond, or considered
# another instance the issuer, in milliseconds.
NO_ISSUER_PAUSE_MS = 250.0


class PermitProtocol(asyncio.DatagramProtocol):
    """Asks for permits, issues them and spreads limits and warm-ups of targets.

    Owns the UDP socket.

    Parameters
    ----------
    targets : TargetRegistry
        Known targets, whose limits are updated.
    host : str
        IP address of this instance.
    port : int
        UDP port of all instances.
    list_issuers : callable
        Returns the hosts of the instances that issue permits of limited targets.
    list_instances : callable
        Returns the hosts of all other live instances.
    list_known : callable
        Returns the hosts of all known instances, which issue permits of cold targets.
        Dead ones are included: while a fleet is split, both parts choose the same
        issuer.
    is_alive : callable
        Returns whether another instance is known to respond.
    clock : Clock
        Source of time.
    meter : Meter
        Counts permits.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        targets: TargetRegistry,
        *,
        host: str,
        port: int,
        list_issuers: Callable[[], Iterable[str]],
        list_instances: Callable[[], Iterable[str]],
        list_known: Callable[[], Iterable[str]],
        is_alive: Callable[[str], bool],
        clock: Clock,
        meter: Meter,
        log: EventLog,
    ) -> None:
        self._targets = targets
        self._host = host
        self._port = port
        self._list_issuers = list_issuers
        self._list_instances = list_instances
        self._list_known = list_known
        self._is_alive = is_alive
        self._clock = clock
        self._meter = meter
        self._log = log
        self._issuer = PermitIssuer()
        self._warmup_issuer = WarmupIssuer()
        # Time until which an issuer that did not respond is not asked, by host.
        self._silent_until_ms: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Permit]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket.

        Raises
        ------
        OSError
            If the port cannot be used.
        """
        loop = asyncio.get_running_loop()
        address = (self._host, self._port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def observe(self, target: Target, per_s: float | None) -> None:
        """Record the limit that a response of a target names, None if it names none."""
        previous = target.rate_limit.per_s
        limit = RateLimit(per_s, self._clock.read())
        self._update(target, limit)
        if per_s == previous:
            return
        key = format_key(target.published)
        issuer = choose_issuer(key, self._list_issuers())
        if issuer == self._host:
            self._observe_as_issuer(key, limit)
        elif issuer is not None:
            self._send(issuer, Report(key=key, limit=limit))

    async def acquire(self, target: Target, wait_bounds: WaitBounds) -> Permit:
        """Return a permit for one request to a target that names a limit.

        Parameters
        ----------
        target : Target
            The target.
        wait_bounds : WaitBounds
            Time for which the request can wait.
        """
        return self._count(await self._ask(target, wait_bounds))

    async def acquire_cold(self, target: Target, rank: int) -> Permit:
        """Return a permit for one request to a target that warms up.

        It is valid at once, and void after its end.

        Parameters
        ----------
        target : Target
            The target.
        rank : int
            Rank of the request, lowest first.
        """
        # The validity counts from here, which is not after the time of the grant.
        end_ms = self._clock.read() + PERMIT_VALIDITY_MS
        permit = self._count(await self._ask_cold(target, rank))
        return attrs.evolve(permit, end_ms=end_ms)

    def observe_warmup(
        self, target: Target, left_ms: float | None, requested_ms: float
    ) -> None:
        """Record the remaining warm-up time that a health response names, None if none.

        Parameters
        ----------
        target : Target
            The target.
        left_ms : float or None
            Remaining time in milliseconds.
        requested_ms : float
            Time at which the health check was sent, in milliseconds.
        """
        now = self._clock.read()
        if target.learn_from_check(left_ms, requested_ms, now):
            self._note_cold(target, "health check", now)
            self._spread_warmup(target, now)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket."""
        # The transport of the event loop is not a subclass of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handle a message of another instance."""
        now = self._clock.read()
        try:
            message = decode_message(data, now=now)
        except PeerError as error:
            self._log.write("datagram_refused", peer=addr[0], reason=str(error))
            return
        if isinstance(message, PermitRequest):
            self._respond(message, addr[0])
            return
        if isinstance(message, WarmupPermitRequest):
            self._respond_cold(message, addr[0])
            return
        if isinstance(message, Report) and message.warmup_left_ms:
            self._adopt_warmup(message)
            return
        self._adopt(message.key, message.limit)
        if isinstance(message, Report):
            if self._is_issuer(message.key):
                self._observe_as_issuer(message.key, message.limit)
            return
        pending = self._pending.get(message.number)
        if pending is not None and not pending.done():
            pending.set_result(message.permit)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable hosts; their permits time out."""

    async def _ask(self, target: Target, wait_bounds: WaitBounds) -> Permit:
        key = format_key(target.published)
        issuer = choose_issuer(key, self._list_issuers())
        if issuer == self._host:
            self._observe_as_issuer(key, target.rate_limit)
            now = self._clock.read()
            return self._issuer.issue(key, wait_bounds, now)
        if issuer is None:
            return Permit(is_granted=False, wait_ms=NO_ISSUER_PAUSE_MS)
        request = PermitRequest(
            number=next(self._numbers),
            key=key,
            limit=target.rate_limit,
            wait_bounds=wait_bounds,
        )
        permit = await self._exchange(issuer, request)
        return permit or self._time_out(target, issuer)

    async def _ask_cold(self, target: Target, rank: int) -> Permit:
        key = format_key(target.published)
        issuer = choose_issuer(key, self._list_known())
        if issuer == self._host:
            return self._issue_cold(key, target.rate_limit, rank, self._host)
        now = self._clock.read()
        silent_ms = self._silent_until_ms.get(issuer or "", 0.0) - now
        if issuer is None or not self._is_alive(issuer) or silent_ms > 0.0:
            wait_ms = silent_ms if silent_ms > 0.0 else NO_ISSUER_PAUSE_MS
            return Permit(is_granted=False, wait_ms=wait_ms)
        request = WarmupPermitRequest(
            number=next(self._numbers), key=key, limit=target.rate_limit, rank=rank
        )
        permit = await self._exchange(issuer, request)
        if permit is None:
            silent_until_ms = self._clock.read() + NO_ISSUER_PAUSE_MS
            self._silent_until_ms[issuer] = silent_until_ms
            return self._time_out(target, issuer)
        return permit

    async def _exchange(
        self, issuer: str, request: PermitRequest | WarmupPermitRequest
    ) -> Permit | None:
        """Return the issuer's permit, or None if it does not respond in time."""
        response: asyncio.Future[Permit] = asyncio.get_running_loop().create_future()
        self._pending[request.number] = response
        try:
            self._send(issuer, request)
            async with asyncio.timeout(RESPONSE_TIMEOUT_MS / 1000):
                return await response
        except TimeoutError:
            return None
        finally:
            del self._pending[request.number]

    def _time_out(self, target: Target, issuer: str) -> Permit:
        self._log.write("permit_timeout", target=target.name, peer=issuer)
        return Permit(is_granted=False, wait_ms=NO_ISSUER_PAUSE_MS)

    def _count(self, permit: Permit) -> Permit:
        result = "granted" if permit.is_granted else "denied"
        self._meter.count("permits", result=result)
        return permit

    def _respond(self, request: PermitRequest, host: str) -> None:
        # While two instances disagree on the issuer, neither may grant the other's.
        permit = Permit(is_granted=False, wait_ms=NO_ISSUER_PAUSE_MS)
        limit = request.limit
        if self._is_issuer(request.key):
            self._observe_as_issuer(request.key, request.limit)
            permit = self._issuer.issue(
                request.key, request.wait_bounds, self._clock.read()
            )
            limit = self._issuer.find_limit(request.key)
        response = PermitResponse(
            number=request.number, key=request.key, permit=permit, limit=limit
        )
        self._send(host, response)

    def _respond_cold(self, request: WarmupPermitRequest, host: str) -> None:
        permit = Permit(is_granted=False, wait_ms=NO_ISSUER_PAUSE_MS)
        if choose_issuer(request.key, self._list_known()) == self._host:
            permit = self._issue_cold(request.key, request.limit, request.rank, host)
        response = PermitResponse(
            number=request.number, key=request.key, permit=permit, limit=request.limit
        )
        self._send(host, response)

    def _issue_cold(self, key: str, limit: RateLimit, rank: int, host: str) -> Permit:
        now = self._clock.read()
        target = self._find(key)
        if target is None or target.warmup_bound is None:
            return Permit(is_granted=False, wait_ms=NO_ISSUER_PAUSE_MS)
        latest = limit if limit.replaces(target.rate_limit) else target.rate_limit
        # Without knowledge of the warm-up, the time of the first request counts.
        known_since_ms = target.stated.cold_since_ms if target.is_cold(now) else None
        if known_since_ms is not None:
            known_since_ms = max(known_since_ms, target.added_ms)
        return self._warmup_issuer.issue(
            key,
            host=host,
            rank=rank,
            max_permits=target.warmup_bound.permits_per_issuer,
            per_s=latest.per_s,
            known_since_ms=known_since_ms,
            now=now,
        )

    def _spread_warmup(self, target: Target, now: float) -> None:
        """Tell the issuer of a cold target, or as the issuer all instances."""
        key = format_key(target.published)
        issuer = choose_issuer(key, self._list_known())
        report = Report(
            key=key,
            limit=target.rate_limit,
            warmup_left_ms=target.cold_until_ms - now,
        )
        receivers = self._list_instances() if issuer == self._host else [issuer]
        for host in receivers:
            if host is not None:
                self._send(host, report)

    def _adopt_warmup(self, report: Report) -> None:
        now = self._clock.read()
        target = self._find(report.key)
        if target is None or not target.learn_from_peer(report.warmup_left_ms, now):
            return
        self._note_cold(target, "instance", now)
        if choose_issuer(report.key, self._list_known()) == self._host:
            self._spread_warmup(target, now)

    def _note_cold(self, target: Target, source: str, now: float) -> None:
        target.is_noted_cold = True
        left_ms = round(target.cold_until_ms - now)
        self._log.write(
            "target_cold", target=target.name, left_ms=left_ms, source=source
        )

    def _find(self, key: str) -> Target | None:
        target = self._targets.find(parse_name(key))
        if target is None or format_key(target.published) != key:
            return None
        return target

    def _observe_as_issuer(self, key: str, limit: RateLimit) -> None:
        has_changed = self._issuer.observe(key, limit, self._clock.read())
        latest = self._issuer.find_limit(key)
        self._adopt(key, latest)
        if has_changed:
            for host in self._list_instances():
                self._send(host, Report(key=key, limit=latest))

    def _adopt(self, key: str, limit: RateLimit) -> None:
        target = self._find(key)
        if target is not None and limit.replaces(target.rate_limit):
            self._update(target, limit)

    def _update(self, target: Target, limit: RateLimit) -> None:
        previous = target.rate_limit.per_s
        target.rate_limit = limit
        if limit.per_s != previous:
            self._log.write(
                "target_limit", target=target.name, per_s=limit.per_s, previous=previous
            )

    def _is_issuer(self, key: str) -> bool:
        return choose_issuer(key, self._list_issuers()) == self._host

    def _send(self, host: str, message: Message) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = encode_message(message, now=self._clock.read())
        self._transport.sendto(data, (host, self._port))
