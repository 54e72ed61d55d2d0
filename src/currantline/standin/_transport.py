"""Transports and servers of the in-memory network."""

import asyncio
import contextvars
from collections import deque
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from currantline.standin.network import MemoryLoop

__all__ = [
    "HOST",
    "PROCESS",
    "MemoryDatagrams",
    "MemoryServer",
    "MemoryTransport",
]

HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")
PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar("process", default="")


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection."""

    def __init__(
        self, loop: "MemoryLoop", protocol: Any, host: str, peer_host: str
    ) -> None:
        super().__init__(extra={"peername": (peer_host, 0), "sockname": (host, 0)})
        self.host = host
        self.process = PROCESS.get()
        self.peer_host = peer_host
        self.is_blackholed = False
        self.peer: MemoryTransport | None = None
        self._loop = loop
        self._protocol = protocol
        self._outgoing: deque[bytes | None] = deque()
        self._incoming: deque[bytes | None] = deque()
        self._is_paused = False
        self._is_closing = False
        self._is_lost = False
        self._context = contextvars.copy_context()
        loop.network.register(self)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def is_closing(self) -> bool:
        """Return whether this end is closing or closed."""
        return self._is_closing

    def is_reading(self) -> bool:
        """Return whether reading is not paused."""
        return not self._is_paused

    def get_write_buffer_size(self) -> int:
        """Return 0, so that writers never wait."""
        return 0

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Ignore the limits, which are never reached."""

    def pause_reading(self) -> None:
        """Buffer incoming bytes until reading is resumed."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Deliver the buffered bytes."""
        self._is_paused = False
        self._loop.call_soon(self._deliver_incoming, context=self._context)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the other end."""
        if not self._is_closing and data:
            self._send(bytes(data))

    def can_write_eof(self) -> bool:
        """Return True, since EOF can be sent before closing."""
        return True

    def write_eof(self) -> None:
        """Send EOF, upon which the other end closes."""
        if not self._is_closing:
            self._send(None)

    def close(self) -> None:
        """Close after sending the bytes already written."""
        if not self._is_closing:
            self._is_closing = True
            self._send(None)
            self._loop.call_soon(self._report_lost, None, context=self._context)

    def abort(self) -> None:
        """Close like `close`."""
        self.close()

    def send_pending(self) -> None:
        """Send what was written while the hosts were partitioned."""
        for _ in range(len(self._outgoing)):
            self._schedule()

    def _send(self, chunk: bytes | None) -> None:
        self._outgoing.append(chunk)
        if not self._loop.network.is_partitioned(self.host, self.peer_host):
            self._schedule()

    def _schedule(self) -> None:
        peer = self.peer
        assert peer is not None
        delay_s = self._loop.network.latency_ms / 1000
        self._loop.call_later(delay_s, self._deliver, context=peer._context)

    def _deliver(self) -> None:
        network = self._loop.network
        if not self._outgoing or network.is_partitioned(self.host, self.peer_host):
            return
        chunk = self._outgoing.popleft()
        if not self.is_blackholed and self.peer is not None:
            self.peer.receive(chunk)

    def receive(self, chunk: bytes | None) -> None:
        """Receive bytes, or None for EOF, from the other end."""
        self._incoming.append(chunk)
        self._deliver_incoming()

    def _deliver_incoming(self) -> None:
        while self._incoming and not self._is_paused and not self._is_lost:
            chunk = self._incoming.popleft()
            if chunk is not None:
                self._protocol.data_received(chunk)
                continue
            self._protocol.eof_received()
            if not self._is_closing:
                # A closing socket sends EOF as well.
                self._is_closing = True
                self._send(None)
            self._report_lost(None)

    def _report_lost(self, error: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._loop.network.forget(self)
            self._protocol.connection_lost(error)


class MemoryServer:
    """A listening address on the in-memory network."""

    def __init__(self, loop: "MemoryLoop", address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address
        self.sockets: tuple[()] = ()

    def close(self) -> None:
        """Stop listening."""
        self._loop.listeners.pop(self._address, None)

    async def wait_closed(self) -> None:
        """Return at once, since closing takes no time."""

    def is_serving(self) -> bool:
        """Return whether the address accepts connections."""
        return self._address in self._loop.listeners


class MemoryDatagrams(asyncio.DatagramTransport):
    """A datagram socket on the in-memory network; undeliverable datagrams are lost."""

    def __init__(
        self,
        loop: "MemoryLoop",
        protocol: asyncio.DatagramProtocol,
        address: tuple[str, int],
    ) -> None:
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self._address = address
        self.process = PROCESS.get()
        self._context = contextvars.copy_context()

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send one datagram."""
        host, port = addr
        network = self._loop.network
        peer = self._loop.datagrams.get((host, int(port)))
        if peer is None or network.is_partitioned(self._address[0], host):
            return
        delay_s = network.latency_ms / 1000
        self._loop.call_later(
            delay_s, peer.receive, bytes(data), self._address, context=peer._context
        )

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Deliver one datagram to the protocol."""
        if not self.is_closing():
            self._protocol.datagram_received(data, source)

    def is_closing(self) -> bool:
        """Return whether the socket is closed."""
        return self._loop.datagrams.get(self._address) is not self

    def close(self) -> None:
        """Close the socket."""
        if not self.is_closing():
            del self._loop.datagrams[self._address]

    def abort(self) -> None:
        """Close the socket."""
        self.close()
