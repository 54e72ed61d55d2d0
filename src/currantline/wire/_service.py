"""A small HTTP server for endpoints that are not on the request path."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from currantline.exceptions import WireError
from currantline.wire._connection import HttpConnection
from currantline.wire._messages import Answer, Request

__all__ = ["HttpService", "answer_json"]

MAX_BODY_BYTES = 4 * 1024 * 1024

Handler = Callable[[Request], Awaitable[Answer]]


def answer_json(value: Any, *, status: int = 200) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(
        status=status,
        headers=(("content-type", "application/json"),),
        body=json.dumps(value).encode(),
    )


class HttpService:
    """Serves whole requests with one handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that answers a request.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = HttpConnection(
            reader, writer, h11.SERVER, max_body_bytes=MAX_BODY_BYTES
        )
        try:
            while (request := await connection.read_request()) is not None:
                connection.write_answer(await self._handler(request))
                await connection.drain()
                if not connection.is_reusable:
                    break
                connection.start_next()
        except (WireError, OSError, asyncio.CancelledError):
            connection.abort()
        finally:
            self._tasks.discard(task)
            connection.close()
