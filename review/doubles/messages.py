"""Reading and writing of HTTP/1.1 messages over asyncio streams."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Message", "encode_head", "read_message"]

MAX_HEAD_BYTES = 65_536


@dataclass
class Message:
    """A request or a response.

    Parameters
    ----------
    start : list of str
        Parts of the start line.
    headers : dict of str to str
        Values by name in lower case.
    body : bytes
        The body, as far as it came.
    is_complete : bool
        Whether the whole body came.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message whose body has a length; return None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            message.headers[name.strip().lower()] = value.strip()
    length = int(message.headers.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        message.body, message.is_complete = error.partial, False
    except ConnectionError:
        message.is_complete = False
    return message


def encode_head(start: str, headers: dict[str, str]) -> bytes:
    """Return the head of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
