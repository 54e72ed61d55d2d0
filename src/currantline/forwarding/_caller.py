"""The HTTP side for callers."""

import asyncio
import json
import uuid
from collections.abc import Callable
from urllib.parse import urlsplit

import attrs
import h11
from eliot import start_action

from currantline.admission import Work
from currantline.clock import Clock
from currantline.configuration import Configuration, Service
from currantline.directory import AddressAnswer
from currantline.exceptions import BodyTooLargeError, UnknownServiceError, WireError
from currantline.forwarding._carrier import Carrier, Completion
from currantline.forwarding._outcome import Outcome
from currantline.wire import (
    HOP_BY_HOP,
    Answer,
    Headers,
    HttpConnection,
    Request,
    find_header,
)

__all__ = ["CallerServer", "Guidance"]

RETRY_AFTER_S = 1


@attrs.frozen(kw_only=True)
class Guidance:
    """What the server asks the rest of the instance.

    Parameters
    ----------
    read_configuration : callable
        Returns the configuration in force.
    answer_addresses : callable
        Returns the addresses of a service, or raises `UnknownServiceError`.
    needs_refresh : callable
        Returns whether callers of a service should ask for addresses again.
    is_leaving : callable
        Returns whether the instance is leaving.
    """

    read_configuration: Callable[[], Configuration]
    answer_addresses: Callable[[str], AddressAnswer]
    needs_refresh: Callable[[str], bool]
    is_leaving: Callable[[], bool]


class CallerServer:
    """Accepts connections of callers and answers their requests.

    Parameters
    ----------
    name : str
        Name of this instance.
    carrier : Carrier
        Carries requests to targets.
    guidance : Guidance
        What the server asks the rest of the instance.
    clock : Clock
        Source of time.
    max_body_bytes : int
        Largest request body accepted.
    """

    def __init__(
        self,
        name: str,
        *,
        carrier: Carrier,
        guidance: Guidance,
        clock: Clock,
        max_body_bytes: int,
    ) -> None:
        self._name = name
        self._carrier = carrier
        self._guidance = guidance
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._server: asyncio.Server | None = None
        self._busy: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Listen on an address.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def leave(self, timeout_ms: float) -> None:
        """Stop listening, finish open requests, then close all connections.

        Parameters
        ----------
        timeout_ms : float
            Longest time to wait for open requests, in milliseconds.
        """
        if self._server is not None:
            self._server.close()
        for task in self._idle:
            task.cancel()
        if self._busy:
            await asyncio.wait(self._busy, timeout=timeout_ms / 1000)
        for task in self._busy:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        connection = HttpConnection(
            reader, writer, h11.SERVER, max_body_bytes=self._max_body_bytes
        )
        try:
            while await self._serve_one(connection, task):
                connection.start_next()
        except (WireError, OSError, asyncio.CancelledError):
            connection.abort()
        finally:
            self._idle.discard(task)
            self._busy.discard(task)
            connection.close()

    async def _serve_one(
        self, connection: HttpConnection, task: "asyncio.Task[None]"
    ) -> bool:
        self._idle.add(task)
        try:
            request = await connection.read_request()
        except BodyTooLargeError as error:
            connection.write_answer(_refuse(413, "too-large", str(error)))
            await connection.drain()
            return False
        finally:
            self._idle.discard(task)
        if request is None:
            return False
        self._busy.add(task)
        try:
            answer = await self._answer(request)
            if self._guidance.is_leaving():
                answer = attrs.evolve(
                    answer, headers=(*answer.headers, ("connection", "close"))
                )
            connection.write_answer(answer)
            await connection.drain()
        finally:
            self._busy.discard(task)
        return connection.is_reusable

    async def _answer(self, request: Request) -> Answer:
        path = urlsplit(request.target).path
        parts = path.split("/", 3)
        if len(parts) >= 4 and parts[1] == "services":
            return await self._forward(parts[2], request)
        if len(parts) == 4 and parts[1:3] == ["v1", "addresses"]:
            return self._answer_addresses(parts[3])
        return _refuse(404, "no-such-path", f"no such path: {path}")

    def _answer_addresses(self, service: str) -> Answer:
        try:
            answer = self._guidance.answer_addresses(service)
        except UnknownServiceError as error:
            return _refuse(404, "unknown-service", str(error))
        body = json.dumps(attrs.asdict(answer)).encode()
        return Answer(
            status=200, headers=(("content-type", "application/json"),), body=body
        )

    async def _forward(self, name: str, request: Request) -> Answer:
        service = self._guidance.read_configuration().services.get(name)
        if service is None:
            return _refuse(404, "unknown-service", f"no service is named {name!r}")
        try:
            work, inner = self._interpret(service, request)
        except WireError as error:
            return _refuse(400, "bad-request", str(error))
        with start_action(
            action_type="currantline:request",
            request_id=work.request_id,
            instance=self._name,
            service=name,
            route=work.route,
        ) as action:
            completion = await self._carrier.carry(work, inner)
            action.add_success_fields(
                outcome=completion.outcome.value,
                target=completion.target,
                reason=completion.reason,
            )
        return self._present(work, completion)

    def _interpret(self, service: Service, request: Request) -> tuple[Work, Request]:
        inner_target = request.target.split(f"/services/{service.name}", 1)[1]
        route = service.match_route(request.method, urlsplit(inner_target).path)
        now = self._clock.read()
        given = find_header(request.headers, "currantline-timeout-ms")
        request_id = find_header(request.headers, "currantline-request-id")
        work = Work(
            request_id=request_id or uuid.uuid4().hex,
            service=service.name,
            route=route.name,
            priority=route.priority,
            idempotent=route.idempotent,
            deadline=now + _read_timeout(given, service.timeout_ms),
            arrived=now,
        )
        return work, attrs.evolve(request, target=inner_target)

    def _present(self, work: Work, completion: Completion) -> Answer:
        headers: Headers = (
            ("currantline-outcome", completion.outcome.value),
            ("currantline-request-id", work.request_id),
            ("currantline-instance", self._name),
        )
        if completion.target:
            headers += (("currantline-target", completion.target),)
        if completion.reason:
            headers += (("currantline-reason", completion.reason),)
        if self._guidance.is_leaving() or self._guidance.needs_refresh(work.service):
            headers += (("currantline-refresh", "1"),)
        if completion.answer is not None:
            kept = tuple(
                (name, value)
                for name, value in completion.answer.headers
                if name not in HOP_BY_HOP and not name.startswith("currantline-")
            )
            return attrs.evolve(completion.answer, headers=kept + headers)
        if completion.outcome is Outcome.NOT_RUN:
            headers += (("retry-after", str(RETRY_AFTER_S)),)
            return Answer(status=503, headers=headers)
        status = 504 if completion.reason == "timeout" else 502
        return Answer(status=status, headers=headers)


def _read_timeout(given: str | None, default_ms: float) -> float:
    if given is None:
        return default_ms
    if not given.isdecimal() or not int(given):
        raise WireError(f"currantline-timeout-ms is not a positive number: {given!r}")
    return float(given)


def _refuse(status: int, reason: str, text: str) -> Answer:
    headers = (
        ("currantline-outcome", Outcome.NOT_RUN.value),
        ("currantline-reason", reason),
        ("content-type", "text/plain"),
    )
    return Answer(status=status, headers=headers, body=f"{text}\n".encode())
