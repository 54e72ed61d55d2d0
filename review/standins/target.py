"""A target: registers in the store, runs requests and answers health checks."""

import asyncio
import contextlib
import zlib
from collections.abc import Awaitable, Callable

from standins.messages import Message, encode, read_message, run_while_open
from standins.record import Record
from standins.store import Store

__all__ = ["ATTEMPT_ID", "DEADLINE", "SEAL", "Target", "make_seal"]

ATTEMPT_ID = "x-currantline-attempt-id"
DEADLINE = "x-currantline-deadline-ms"
EXPECTED = "x-currantline-expect-instance"
INSTANCE_ID = "X-Currantline-Instance-Id"
LOAD = "X-Currantline-Server-Load"
NOT_EXECUTED = "X-Currantline-Not-Executed"
SEAL = "x-currantline-server-seal"

HEALTH_PATH = "/health"
IDLE_CLOSE_S = 10

# Larger than the default, so that large bodies take less processor time.
BUFFER_BYTES = 1024 * 1024

QUEUE = 4

Spoil = Callable[[Message, bytes, asyncio.StreamWriter], Awaitable[bytes | None]]


def make_seal(target: str, attempt_id: str, body: bytes) -> str:
    """Return the signature of a target under an answer."""
    return f"{target}.{attempt_id}.{zlib.crc32(body):08x}"


class Target:
    """Runs requests in slots and queues a few more.

    Parameters
    ----------
    name : str
        Its id in the store.
    service : str
        Service that it provides.
    address : tuple of str and int
        Address to listen on.
    data_centre : str
        Its data centre.
    record : Record
        Gets a line for each run.
    work_s : float
        Time that a request takes, in seconds.
    slots : int
        Requests processed concurrently.

    Attributes
    ----------
    spoil : callable or None
        Gets a request and the whole answer to it, and returns what is written in its
        place; None if it has written to the connection itself.
    runs : list of tuple
        Attempt id and time of each run.
    """

    def __init__(
        self,
        name: str,
        *,
        service: str,
        address: tuple[str, int],
        data_centre: str,
        record: Record,
        work_s: float,
        slots: int,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self._data_centre = data_centre
        self._record = record
        self._work_s = work_s
        self._slots = slots
        self._waiting = 0
        self._running = 0
        self._turns = asyncio.Semaphore(slots)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.spoil: Spoil | None = None
        self.runs: list[tuple[str, float]] = []

    async def start(self, store: Store) -> None:
        """Listen and register in the store."""
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=BUFFER_BYTES
        )
        self.register(store)

    def register(self, store: Store, *, state: str = "ready") -> None:
        """Write the entry of this target."""
        self._sequence += 1
        store.put(
            f"servers/{self.name}",
            {
                "address": "{}:{}".format(*self.address),
                "born": 1_700_000_000_000,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self._data_centre,
                    "slots": self._slots,
                },
                "status": {
                    "state": state,
                    "sequence": self._sequence,
                    "warmupLeftMs": 0,
                },
            },
        )

    def stop(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def exit(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.stop()

    def _describe_load(self) -> str:
        return f"{self._running},{self._waiting},{self._slots},100"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, TimeoutError):
            while True:
                async with asyncio.timeout(IDLE_CLOSE_S):
                    request = await read_message(reader)
                if request is None:
                    break
                data = await run_while_open(reader, self._answer(request, writer))
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
        self._writers.discard(writer)

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        headers = {
            "Content-Type": "text/plain",
            "Keep-Alive": f"timeout={IDLE_CLOSE_S}",
            INSTANCE_ID: self.name,
        }
        attempt_id = request.headers.get(ATTEMPT_ID)
        if request.start[1] == HEALTH_PATH:
            headers[LOAD] = self._describe_load()
            return encode("HTTP/1.1 200 OK", headers)
        if attempt_id is None:
            headers[NOT_EXECUTED] = "1"
            return encode("HTTP/1.1 400 Bad Request", headers)
        headers[ATTEMPT_ID] = attempt_id
        if request.headers.get(EXPECTED, self.name) != self.name:
            headers[NOT_EXECUTED] = "1"
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        if self._waiting >= QUEUE:
            headers.update({NOT_EXECUTED: "1", LOAD: self._describe_load()})
            return encode("HTTP/1.1 503 Service Unavailable", headers)
        left_s = float(request.headers.get(DEADLINE, "10000")) / 1000
        loop = asyncio.get_running_loop()
        end_s = loop.time() + left_s
        self._waiting += 1
        try:
            async with asyncio.timeout_at(end_s):
                await self._turns.acquire()
        except TimeoutError:
            headers[NOT_EXECUTED] = "1"
            return encode("HTTP/1.1 503 Service Unavailable", headers)
        finally:
            self._waiting -= 1
        try:
            return await self._run(request, headers, attempt_id, end_s, writer)
        finally:
            self._turns.release()

    async def _run(
        self,
        request: Message,
        headers: dict[str, str],
        attempt_id: str,
        end_s: float,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        self.runs.append((attempt_id, self._record.read_clock()))
        self._record.write("run", attempt_id, "at", self.name, len(request.body))
        self._running += 1
        loop = asyncio.get_running_loop()
        try:
            await asyncio.sleep(min(self._work_s, max(0.0, end_s - loop.time())))
            is_late = loop.time() >= end_s
            body = request.start[1].encode()
            headers[SEAL] = make_seal(self.name, attempt_id, body)
            headers[LOAD] = self._describe_load()
            line = "HTTP/1.1 504 Gateway Timeout" if is_late else "HTTP/1.1 200 OK"
            data = encode(line, headers, body)
            if self.spoil is None:
                return data
            return await self.spoil(request, data, writer)
        finally:
            self._running -= 1
