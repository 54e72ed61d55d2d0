"""Stand-in for an upstream of the platform."""

import asyncio
import contextlib
from collections.abc import Callable

from doubles.messages import Message, encode_head, read_message
from doubles.record import Record

__all__ = ["Upstream", "make_entry"]

ATTEMPT_ID = "X-Currantline-Attempt-Id"
DEADLINE = "X-Currantline-Deadline-Ms"
EXPECTED = "X-Currantline-Expect-Instance"
INSTANCE = "X-Currantline-Instance-Id"
LOAD = "X-Currantline-Server-Load"
NOT_EXECUTED = "X-Currantline-Not-Executed"
SEAL = "X-Currantline-Server-Seal"


class Upstream:
    """A server that records what it runs.

    Parameters
    ----------
    name : str
        Its id.
    slots : int
        Number of requests that it works on at the same time. It rejects others.
    work_s : float
        Time that it works on a request.
    make_body : callable
        Returns the body of the response to a path.
    record : Record
        Where it writes what it runs and answers.
    choose_status : callable
        Returns the status of the response to a request that has run.
    """

    def __init__(
        self,
        name: str,
        *,
        slots: int,
        work_s: float,
        make_body: Callable[[str], bytes],
        record: Record,
        choose_status: Callable[[str], int] = lambda attempt: 200,
    ) -> None:
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.make_body = make_body
        self.record = record
        self.choose_status = choose_status
        self.runs: dict[str, int] = {}
        self.answered: set[str] = set()
        self._running = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                if not request.is_complete:
                    break
                await self._respond(request, reader, writer)
        writer.close()

    async def _respond(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        load = f"{self._running},0,{self.slots},100"
        if request.start[1] == "/health":
            await self._write(writer, 200, {INSTANCE: self.name, LOAD: load})
            return
        attempt = request.headers.get(ATTEMPT_ID.lower(), "")
        if request.headers.get(EXPECTED.lower(), self.name) != self.name:
            await self._write(writer, 421, {INSTANCE: self.name})
            return
        if self._running >= self.slots or not attempt:
            status = 503 if attempt else 400
            self.record.write("rejected", upstream=self.name, attempt=attempt)
            headers = {ATTEMPT_ID: attempt, NOT_EXECUTED: "1", LOAD: load}
            await self._write(writer, status, headers)
            return
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.write(
            "run",
            upstream=self.name,
            attempt=attempt,
            left_ms=request.headers.get(DEADLINE.lower(), ""),
        )
        self._running += 1
        try:
            if not await self._work(reader):
                self.record.write("dropped", upstream=self.name, attempt=attempt)
                raise ConnectionError("the caller has closed the connection")
        finally:
            self._running -= 1
        status = self.choose_status(attempt)
        load = f"{self._running + 1},0,{self.slots},100"
        body = self.make_body(request.start[1])
        headers = {ATTEMPT_ID: attempt, SEAL: f"{self.name}.{attempt}", LOAD: load}
        self.answered.add(attempt)
        self.record.write(
            "answered",
            upstream=self.name,
            attempt=attempt,
            status=status,
            bytes=len(body),
        )
        await self._write(writer, status, headers, body)

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        """Work on a request; return False if its connection was closed meanwhile."""
        end_s = asyncio.get_running_loop().time() + self.work_s
        while (left_s := end_s - asyncio.get_running_loop().time()) > 0:
            if reader.at_eof() or reader.exception() is not None:
                return False
            await asyncio.sleep(min(0.02, left_s))
        return True

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        head = {**headers, "Content-Length": str(len(body)), "Keep-Alive": "timeout=10"}
        writer.write(encode_head(f"HTTP/1.1 {status} -", head) + body)
        await writer.drain()


def make_entry(
    address: str, *, service: str, zone: str, slots: int, born: int
) -> dict[str, object]:
    """Return the entry of an upstream in the store."""
    return {
        "address": address,
        "born": born,
        "info": {"service": service, "version": "v1", "zone": zone, "slots": slots},
        "status": {"state": "ready", "sequence": 1, "warmupLeftMs": 0},
    }
