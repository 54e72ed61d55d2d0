"""Exchange of permits and limits between instances over UDP."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import Any, cast

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
)
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
    """Asks for permits, issues them and spreads the limits that targets name.

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
        Returns the hosts of the instances that issue permits.
    list_instances : callable
        Returns the hosts of all other live instances.
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
        clock: Clock,
        meter: Meter,
        log: EventLog,
    ) -> None:
        self._targets = targets
        self._host = host
        self._port = port
        self._list_issuers = list_issuers
        self._list_instances = list_instances
        self._clock = clock
        self._meter = meter
        self._log = log
        self._issuer = PermitIssuer()
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
        permit = await self._ask(target, wait_bounds)
        result = "granted" if permit.is_granted else "denied"
        self._meter.count("permits", result=result)
        return permit

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
        number = next(self._numbers)
        response: asyncio.Future[Permit] = asyncio.get_running_loop().create_future()
        self._pending[number] = response
        request = PermitRequest(
            number=number, key=key, limit=target.rate_limit, wait_bounds=wait_bounds
        )
        try:
            self._send(issuer, request)
            async with asyncio.timeout(RESPONSE_TIMEOUT_MS / 1000):
                return await response
        except TimeoutError:
            self._log.write("permit_timeout", target=target.name, peer=issuer)
            return Permit(is_granted=False, wait_ms=NO_ISSUER_PAUSE_MS)
        finally:
            del self._pending[number]

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

    def _observe_as_issuer(self, key: str, limit: RateLimit) -> None:
        has_changed = self._issuer.observe(key, limit, self._clock.read())
        latest = self._issuer.find_limit(key)
        self._adopt(key, latest)
        if has_changed:
            for host in self._list_instances():
                self._send(host, Report(key=key, limit=latest))

    def _adopt(self, key: str, limit: RateLimit) -> None:
        target = self._targets.find(parse_name(key))
        if target is None or format_key(target.published) != key:
            return
        if limit.replaces(target.rate_limit):
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
