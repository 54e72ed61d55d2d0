"""HTTP/1.1 messages over asyncio streams."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

__all__ = ["Message", "encode", "read_message", "run_while_open"]

Result = TypeVar("Result")


@dataclass(frozen=True)
class Message:
    """A request or a response.

    Parameters
    ----------
    start : tuple of str
        The three parts of the first line.
    headers : dict of str to str
        Headers by name in lower case.
    body : bytes
        The body.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start[1])


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length as bytes."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None if the connection ends before it is complete.

    Only messages with a length are read. The programs under review send no others.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first_line, *lines = head[:-4].decode("latin-1").split("\r\n")
        fields = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in fields}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, rest = (*first_line.split(" ", 2), "", "")[:3]
    return Message((method, target, rest), headers, body)


async def run_while_open(
    reader: asyncio.StreamReader, work: Coroutine[Any, Any, Result]
) -> Result:
    """Return the result of a coroutine, which is cancelled if the peer closes.

    Raises
    ------
    ConnectionAbortedError
        If the peer has closed the connection first.
    """
    task = asyncio.ensure_future(work)
    closed = asyncio.ensure_future(reader.read(1))
    await asyncio.wait({task, closed}, return_when=asyncio.FIRST_COMPLETED)
    has_result = task.done()
    for each in (task, closed):
        each.cancel()
    await asyncio.gather(task, closed, return_exceptions=True)
    if not has_result:
        raise ConnectionAbortedError("the peer closed the connection")
    return task.result()
