"""Tests with targets and a store that send bytes until their connection is closed."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import pytest

from currantline.platform import HEADERS
from currantline.platform.samples import make_target_entry
from currantline.standin.worker import HEALTH_PATH
from currantline.tests.hostile_callers._instance import (
    CALLERS,
    HANG_GUARD_MS,
    Handler,
    Instance,
    Limits,
    Use,
    run_instance,
)
from currantline.wire import Request, Response, fetch

TARGETS, REQUESTS = 8, 32

# Time that the callers of faulty targets state. The load ends with it.
TIME_LEFT_MS = 3_000

# Time for which the store is faulty; a watch takes up to 4.4 s of it.
STORE_FAULT_S = 6.0

POLL_S = 0.02

SIGNED = b"X-Currantline-Attempt-Id: e\r\nX-Currantline-Server-Seal: s\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
FILLER = b"x" * 65_536
CHUNK = b"10000\r\n" + FILLER + b"\r\n"

# What is sent once, and then without end.
ENDLESS = {
    "junk": (b"", FILLER),
    "head": (b"HTTP/1.1 200 OK\r\nx-long: ", FILLER),
    "interim": (b"", INTERIM * 2_000),
    "chunks": (CHUNKED, CHUNK),
    "chunk-size": (CHUNKED + b"1;", FILLER),
    "trailers": (CHUNKED + b"0\r\n", b"x: y\r\n" * 10_000),
    "no-length": (b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\n", FILLER),
    "length": (
        b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 99999999999\r\n\r\n",
        FILLER,
    ),
}


@attrs.define
class EndlessServer:
    """A server that sends bytes without end.

    Parameters
    ----------
    form : str
        What it sends, a key of `ENDLESS`.
    answer : callable
        Returns the proper response to a request, or None for bytes without end.
    sent_bytes : int
        Number of bytes sent without end.
    """

    form: str
    answer: Callable[[Request], Awaitable[Response | None]]
    sent_bytes: int = 0
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Address that it listens on, as ``ip:port``."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, _ = head.decode().split(" ", 2)
                response = await self.answer(Request(method=method, target=target))
                if response is None:
                    await self._send_endless(writer)
                else:
                    writer.write(_encode(response))
        writer.close()

    async def _send_endless(self, writer: asyncio.StreamWriter) -> None:
        start, filler = ENDLESS[self.form]
        writer.write(start)
        while True:
            writer.write(filler)
            self.sent_bytes += len(filler)
            await writer.drain()
            await asyncio.sleep(0)


def _encode(response: Response) -> bytes:
    headers = (*response.headers, ("content-length", str(len(response.body))))
    lines = [f"HTTP/1.1 {response.status} -", *map(": ".join, headers), "", ""]
    return "\r\n".join(lines).encode() + response.body


def make_target(form: str, name: str, *, has_health: bool) -> EndlessServer:
    """Return a faulty target, which may answer health checks properly."""
    headers = ((HEADERS.load, "0,0,64,100"), (HEADERS.target, name))

    async def answer(request: Request) -> Response | None:
        is_check = request.target == HEALTH_PATH
        return Response(status=200, headers=headers) if is_check & has_health else None

    return EndlessServer(form, answer)


async def send(instance: Instance, number: int) -> int:
    """Send one request to a faulty target and return the status of the answer."""
    headers = (
        ("host", "shop.example"),
        (HEADERS.request_id, f"endless-{number}"),
        (HEADERS.time_left, str(TIME_LEFT_MS)),
    )
    request = Request(method="GET", target="/read/x", headers=headers)
    address = f"{instance.host}:{CALLERS.number}"
    return (await fetch(address, request, timeout_ms=HANG_GUARD_MS)).status


async def play(folder: Path, form: str, *, has_health: bool) -> None:
    """Send requests to faulty targets, and check the instance during their time."""
    limits, use = Limits(), Use()
    servers, entries = [], {}
    for number in range(TARGETS):
        name = f"endless-{number}"
        server = make_target(form, name, has_health=has_health)
        await server.start("127.0.0.1:0")
        entries[name] = make_target_entry(server.address, service="svc")
        entries[name]["info"]["slots"] = REQUESTS
        servers.append(server)
    async with run_instance(folder, limits, entries=entries) as instance:
        calls = [asyncio.create_task(send(instance, n)) for n in range(REQUESTS)]
        while not all(call.done() for call in calls):
            assert instance.is_running
            instance.update(use)
            await asyncio.sleep(POLL_S)
        statuses = {await call for call in calls}
        assert await instance.call(CALLERS) == 200
        instance.update(use)
    for server in servers:
        await server.stop()
    print(f"{use.peak_memory_mb:.0f} MB, {sum(s.sent_bytes for s in servers)} bytes")
    assert statuses <= {502, 503, 504}
    assert use.peak_memory_mb <= limits.memory_mb


class TestTargets:
    """Targets that send bytes without end."""

    @pytest.mark.parametrize("form", ENDLESS)
    def test_requests(self, tmp_path: Path, form: str) -> None:
        """Guards against answers to requests that fill the memory of an instance."""
        asyncio.run(play(tmp_path, form, has_health=True))

    @pytest.mark.parametrize("form", ENDLESS)
    def test_health_checks(self, tmp_path: Path, form: str) -> None:
        """Guards against answers to health checks that fill the memory."""
        asyncio.run(play(tmp_path, form, has_health=False))


class TestStore:
    """A store that sends bytes without end."""

    @pytest.mark.parametrize("form", ENDLESS)
    def test_calls(self, tmp_path: Path, form: str) -> None:
        """Guards against answers of the store that fill the memory of an instance."""
        asyncio.run(play_store(tmp_path, form))


async def play_store(folder: Path, form: str) -> None:
    """Let the store of an instance fail, and check the instance meanwhile."""
    limits, use = Limits(memory_mb=80), Use()
    stores: list[EndlessServer] = []
    is_faulty = False

    def make_store(handle: Handler) -> EndlessServer:
        async def answer(request: Request) -> Response | None:
            return None if is_faulty else await handle(request)

        stores.append(EndlessServer(form, answer))
        return stores[0]

    async with run_instance(folder, limits, make_store_server=make_store) as instance:
        is_faulty = True
        loop = asyncio.get_running_loop()
        end_s = loop.time() + STORE_FAULT_S
        while loop.time() < end_s:
            assert instance.is_running
            instance.update(use)
            await asyncio.sleep(POLL_S)
        assert await instance.call(CALLERS) == 200
        instance.update(use)
    print(f"{use.peak_memory_mb:.0f} MB, {stores[0].sent_bytes} bytes")
    assert stores[0].sent_bytes > 0
    assert use.peak_memory_mb <= limits.memory_mb
