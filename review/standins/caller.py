"""A caller with kept connections."""

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass, field
from typing import ClassVar

from standins.messages import Message, read_message
from standins.record import Record
from standins.target import ATTEMPT_ID, DEADLINE

__all__ = ["Call", "Caller"]

HOST = "shop.example"
CONNECT_TIMEOUT_S = 1.0

# Size of the parts in which a body with a length is written.
PART_BYTES = 65_536


@dataclass
class Call:
    """A request and what its caller saw.

    Parameters
    ----------
    attempt_id : str
        Id of the request.
    route : str
        Name of the route.
    instance : str
        Host that it was sent to.
    sent_s : float
        Time at which its last byte was written.
    is_kept : bool
        Whether its connection had carried a request before.
    ended_s : float or None
        Time of the answer, or of the end of the connection, None if the caller gave up
        without either.
    answer : Message or None
        The complete answer.
    """

    attempt_id: str
    route: str
    instance: str
    sent_s: float
    is_kept: bool = False
    ended_s: float | None = None
    answer: Message | None = field(default=None, repr=False)

    @property
    def status(self) -> int:
        """Status of the answer, 0 without one."""
        return self.answer.status if self.answer is not None else 0

    @property
    def is_cut(self) -> bool:
        """Whether the connection ended without a complete answer."""
        return self.answer is None and self.ended_s is not None


class Caller:
    """Sends one request at a time to one instance over a kept connection.

    Parameters
    ----------
    address : tuple of str and int
        Address of the instance.
    record : Record
        Gets a line for each request and each answer.
    """

    _numbers = itertools.count(1)
    _all: ClassVar[list["Caller"]] = []

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self._address = address
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._has_answered = False
        self._all.append(self)

    @classmethod
    def close_all(cls) -> None:
        """Close the connections of all callers."""
        for caller in cls._all:
            caller.close()

    async def call(
        self,
        route: str,
        *,
        method: str,
        deadline_s: float,
        body: bytes = b"",
        chunk_bytes: int = 0,
        upload_s: float = 0.0,
    ) -> Call | None:
        """Send a request and wait for the answer until the deadline.

        Parameters
        ----------
        route : str
            Name of the route, the first part of the path.
        method : str
            HTTP method.
        deadline_s : float
            Time in seconds for which the caller waits.
        body : bytes
            The body.
        chunk_bytes : int
            If positive, the body is sent in chunks of this size.
        upload_s : float
            Time in seconds over which the parts of the body are spread.

        Returns
        -------
        Call or None
            None if no connection could be opened.
        """
        if self._streams is None:
            self._has_answered = False
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    self._streams = await asyncio.open_connection(*self._address)
            except (OSError, TimeoutError):
                return None
        reader, writer = self._streams
        attempt_id = f"a{next(self._numbers):06d}"
        call = Call(
            attempt_id,
            route,
            self._address[0],
            self._record.read_clock(),
            is_kept=self._has_answered,
        )
        headers = {
            "Host": HOST,
            ATTEMPT_ID: attempt_id,
            DEADLINE: str(int(deadline_s * 1000)),
        }
        if chunk_bytes:
            headers["Transfer-Encoding"] = "chunked"
        elif body or method == "POST":
            headers["Content-Length"] = str(len(body))
        lines = [f"{method} /{route}/{attempt_id} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        is_kept = "kept" if call.is_kept else "new"
        self._record.write("send", attempt_id, route, "to", self._address[0], is_kept)
        try:
            async with asyncio.timeout(deadline_s):
                writer.write(head)
                await self._write_body(writer, body, chunk_bytes, upload_s)
                call.sent_s = self._record.read_clock()
                call.answer = await read_message(reader)
                call.ended_s = self._record.read_clock()
        except asyncio.CancelledError:
            self.close()
            raise
        except (TimeoutError, ConnectionError) as error:
            if isinstance(error, ConnectionError):
                call.ended_s = self._record.read_clock()
        outcome = "gave up" if call.ended_s is None else call.status or "cut"
        self._record.write("end", attempt_id, outcome)
        is_last = call.answer is None or "close" in call.answer.headers.get(
            "connection", ""
        )
        if is_last:
            self.close()
        self._has_answered = True
        return call

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            with contextlib.suppress(OSError):
                self._streams[1].transport.abort()
        self._streams = None

    async def _write_body(
        self,
        writer: asyncio.StreamWriter,
        body: bytes,
        chunk_bytes: int,
        upload_s: float,
    ) -> None:
        size = chunk_bytes or PART_BYTES
        started = time.monotonic()
        for start in range(0, len(body), size):
            part = body[start : start + size]
            if chunk_bytes:
                part = b"%x\r\n" % len(part) + part + b"\r\n"
            writer.write(part)
            await writer.drain()
            due = started + upload_s * (start + size) / len(body)
            if start + size < len(body) and due > time.monotonic():
                await asyncio.sleep(due - time.monotonic())
        if chunk_bytes:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
