"""TCP proxy on the loopback interface that injects connection faults."""

import asyncio
import contextlib
import enum

__all__ = ["Proxy", "ProxyMode"]

# Interval at which connections are reset until all of them have ended.
STOP_RETRY_S = 0.1

CHUNK_BYTES = 65_536

# Delay of each chunk in `ProxyMode.DELAY`.
DELAY_S = 0.15


class ProxyMode(enum.Enum):
    """How the proxy handles data."""

    PASS = "pass"
    DELAY = "delay"
    # These modes read and discard bytes, in one direction or in both.
    DROP_REQUESTS = "drop requests"
    DROP_RESPONSES = "drop answers"
    SILENCE = "silence"


class Proxy:
    """Forwards connections to an address.

    Parameters
    ----------
    destination : str
        ``ip:port`` to forward to.
    """

    def __init__(self, destination: str) -> None:
        self._host, _, port = destination.rpartition(":")
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = ProxyMode.PASS

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port that the proxy listens on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        while self._tasks:
            self.reset()
            await asyncio.wait(self._tasks, timeout=STOP_RETRY_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            # A connection refused by the remote side is passed on as a reset.
            with contextlib.suppress(OSError):
                await self._relay(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        remote_reader, remote_writer = await asyncio.open_connection(
            self._host, self._port
        )
        self._writers.add(remote_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(reader, remote_writer, ProxyMode.DROP_REQUESTS)
                )
                group.create_task(
                    self._forward(remote_reader, writer, ProxyMode.DROP_RESPONSES)
                )
        except* OSError:
            # One side was reset; the other one is reset below and by the caller.
            pass
        finally:
            self._writers.discard(remote_writer)
            remote_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop_mode: ProxyMode,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.mode in (ProxyMode.SILENCE, drop_mode):
                continue
            if self.mode is ProxyMode.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
