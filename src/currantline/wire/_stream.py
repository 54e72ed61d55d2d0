"""Byte stream over one asyncio connection."""

import asyncio
import select
import socket
import threading
from collections import deque
from collections.abc import Callable

from currantline.exceptions import CurrantlineError, WireError
from currantline.wire._holding import Holding
from currantline.wire._sockets import (
    count_unacknowledged,
    set_keep_alive,
    set_write_timeout,
)

__all__ = ["MAX_PIECE_BYTES", "ByteStream"]

# Unread bytes above which a connection without a waiting reader is not read from.
MAX_UNREAD_BYTES = 32_768

# Bytes that are read from a socket at once. asyncio would allocate 256 KiB each time.
RECEIVE_BUFFER_BYTES = 65_536

# Maximum size of the pieces that `ByteStream.write_in_pieces` hands to the transport.
MAX_PIECE_BYTES = 262_144

# Closing a socket with unread bytes sends a reset, which may discard a response that
# the peer has not read yet. The close therefore waits for the peer's EOF: until nothing
# has come for this long, since a peer may read only after it has sent its whole body,
# and for the maximum if that does not end.
LINGER_S = 1.0
MAX_LINGER_S = 30.0


class _ReceiveBuffer(threading.local):
    """Buffer for the reads of all connections of one event loop.

    Each read is copied before the next one. Event loops run in threads of their own,
    and a shared buffer would mix the bytes of their connections.
    """

    def __init__(self) -> None:
        self.bytes = bytearray(RECEIVE_BUFFER_BYTES)
        self.view = memoryview(self.bytes)


_RECEIVE_BUFFER = _ReceiveBuffer()


class ByteStream(asyncio.BufferedProtocol):
    """Asyncio protocol with buffered reads, flow control and interruptible waits.

    Parameters
    ----------
    is_client : bool
        Whether this side opened the connection.
    on_open : callable, optional
        Called with this object once the connection is open.

    Attributes
    ----------
    on_lost : callable or None
        Called when the peer closes the connection or it fails.
    before_wait : callable or None
        Called before each wait, so that a time limit starts a timer only if a wait
        is needed.
    holding : Holding or None
        What the connection holds of the memory account, None if it is not counted.
    is_silence_expected : bool
        Whether received bytes end the connection, as there is nothing to answer.
    """

    def __init__(
        self, *, is_client: bool, on_open: Callable[..., object] | None = None
    ) -> None:
        self.on_lost: Callable[[], object] | None = None
        self.before_wait: Callable[[], object] | None = None
        self.holding: Holding | None = None
        self.is_silence_expected = False
        self._on_open = on_open
        self._is_client = is_client
        self._transport: asyncio.Transport
        self._unread = bytearray()
        # Bytes that the parser has been given and may not have consumed.
        self._parser_bytes = 0
        self._unwritten: deque[memoryview] = deque()
        self._unwritten_bytes = 0
        # Size of the blocks that the pieces in `_unwritten` are parts of.
        self._unwritten_block_bytes = 0
        self._on_written: Callable[[], object] | None = None
        self._is_lost = False
        self._is_broken = False
        self._has_early_response = False
        self._is_discarding = False
        self._has_discarded = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._write_timeout_ms = 0
        self._cut_reason = ""
        self._cut_bytes = 0
        self._interruption: CurrantlineError | None = None
        self._data_waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the peer closed the connection or it failed."""
        return self._is_lost

    @property
    def has_pipelined(self) -> bool:
        """Whether bytes behind the last request have been received already."""
        return bool(self._unread or self._parser_bytes)

    @property
    def is_closing(self) -> bool:
        """Whether this side is closing the connection, or it is closed."""
        return self._transport.is_closing()

    @property
    def is_broken(self) -> bool:
        """Whether the connection ended with an error, such as a reset."""
        return self._is_broken

    @property
    def has_unwritten(self) -> bool:
        """Whether written bytes are left that the socket has not taken."""
        return bool(self._unwritten or self._transport.get_write_buffer_size())

    @property
    def has_undelivered(self) -> bool:
        """Whether the peer has not acknowledged all written bytes.

        On systems that do not tell, bytes that the socket has taken count as delivered.
        """
        return self.has_unwritten or self._count_unacknowledged() > 0

    @property
    def _socket(self) -> socket.socket | None:
        """Socket of the connection, None on an in-memory network."""
        sock: socket.socket | None = self._transport.get_extra_info("socket")
        return sock

    @property
    def peer_host(self) -> str:
        """IP address of the peer."""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    def is_readable(self) -> bool:
        """Return whether the socket has pending bytes or a pending EOF.

        The event loop may not have read these yet, for example after the process was
        paused.
        """
        if self._is_lost or self._transport.is_closing():
            return True
        if self._socket is None:
            return False
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(0))

    def set_keep_alive(self, timeout_ms: int) -> None:
        """Let the kernel drop the connection if the peer answers no probes for long."""
        if self._socket is not None:
            set_keep_alive(self._socket, timeout_ms)

    def set_write_timeout(self, timeout_ms: int) -> None:
        """Let the kernel drop the connection if the peer takes no bytes for long.

        It does so even if the peer is alive and only reads nothing.
        """
        if self._socket is not None and timeout_ms != self._write_timeout_ms:
            self._write_timeout_ms = timeout_ms
            set_write_timeout(self._socket, timeout_ms)

    def write(self, data: bytes) -> None:
        """Write bytes to the transport without suspending."""
        if self._unwritten:
            # It must not overtake the pieces that the transport has not got yet.
            self.write_in_pieces(data)
            return
        self._transport.write(data)
        self.count_unwritten()

    def write_in_pieces(self, data: bytes) -> None:
        """Write bytes as fast as the transport takes them, without suspending.

        The transport copies what the socket does not take at once, so it gets large
        data in pieces. What it has not got yet is discarded when a client closes; a
        server writes it before.
        """
        self._unwritten.append(memoryview(data))
        self._unwritten_bytes += len(data)
        self._unwritten_block_bytes += len(data)
        self._write_pieces()
        self.count_unwritten()

    def write_encoded(self, parts: list[bytes]) -> None:
        """Write the parts of an encoded message, large ones without copying them."""
        if sum(map(len, parts)) <= MAX_PIECE_BYTES:
            self.write(b"".join(parts))
            return
        for part in parts:
            self.write_in_pieces(part)

    def count_unwritten(self) -> None:
        """Count the bytes that the socket has not taken in the memory account.

        The connection is aborted if there is no memory for them.
        """
        if self.holding is None:
            return
        buffered = self._transport.get_write_buffer_size()
        is_counted = self.holding.count_unwritten(
            self._unwritten_bytes + buffered,
            held=self._unwritten_block_bytes + buffered,
        )
        if not is_counted:
            self.abort()

    async def drain(self) -> None:
        """Wait until the transport accepts more bytes.

        Raises
        ------
        WireError
            If the connection was closed.
        """
        while self._is_writing_paused and not self._transport.is_closing():
            self._prepare_wait()
            self._drain_waiter = asyncio.get_running_loop().create_future()
            await self._drain_waiter
        if self._transport.is_closing():
            raise WireError("the connection broke")

    def interrupt(self, error: CurrantlineError) -> None:
        """Raise an error in the current wait, or in the next one."""
        self._interruption = error
        self._wake_waiters()

    def clear_interruption(self) -> None:
        """Discard an interruption that arrived after the wait had ended."""
        self._interruption = None

    def close(self) -> None:
        """Close the connection without waiting."""
        if self._is_discarding:
            return
        if self._unwritten and not self._is_client and not self._is_broken:
            self._on_written = self._transport.close
        else:
            self._discard_unwritten()
            self._transport.close()
        if self.holding is not None and self.has_unwritten:
            self.holding.linger()

    def close_after_eof(self) -> None:
        """Send buffered bytes and EOF, then close once the peer has closed."""
        if self._transport.is_closing() or self._is_lost:
            self._transport.close()
            return
        self._is_discarding = True
        self._unread.clear()
        self._resume_reading()
        if self.holding is not None:
            self.holding.count_unread(0)
            self.holding.linger()
        if self._unwritten:
            self._on_written = self._transport.write_eof
        else:
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._end_linger, loop.time() + MAX_LINGER_S)

    def abort(self, reason: str = "") -> None:
        """Close the connection immediately and discard unsent bytes."""
        self._record_cut(reason or "aborted")
        self._discard_unwritten()
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the open transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._on_open is not None:
            self._on_open(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return _RECEIVE_BUFFER.bytes

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes from the buffer."""
        self.data_received(bytes(_RECEIVE_BUFFER.view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes for the reader."""
        if self._is_discarding:
            self._has_discarded = True
            return
        if self.is_silence_expected:
            self.abort()
            return
        is_written = not (self._unwritten or self._transport.get_write_buffer_size())
        if self._is_client and not is_written:
            self._has_early_response = True
        self._unread += data
        if len(self._unread) > MAX_UNREAD_BYTES and self._data_waiter is None:
            self._is_reading_paused = True
            self._transport.pause_reading()
        if self.holding is not None:
            unread = len(self._unread) + self._parser_bytes
            if not self.holding.count_received(len(data), unread):
                self._unread.clear()
                self.abort()
        self._wake_waiters()

    def eof_received(self) -> bool:
        """Record the peer's EOF; a server may still write its response."""
        self._mark_lost()
        return not self._is_client and not self._is_discarding

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed."""
        self._is_broken = exc is not None
        if exc is not None:
            self._record_cut(repr(exc))
        self._discard_unwritten()
        if self.holding is not None:
            self.holding.close(cut=self._cut_bytes, reason=self._cut_reason)
        self._mark_lost()

    def pause_writing(self) -> None:
        """Record that the transport's write buffer is full."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Resume waiting writers, as the transport's write buffer has room."""
        self._is_writing_paused = False
        self._write_pieces()
        self.count_unwritten()
        self._wake_waiters()

    def _end_linger(self, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._transport.is_closing():
            return
        if self.has_unwritten:
            # What the peer sends in the meantime would reset a closed socket.
            loop.call_later(LINGER_S, self._end_linger, loop.time() + MAX_LINGER_S)
        elif self._has_discarded and loop.time() < end_s:
            self._has_discarded = False
            loop.call_later(LINGER_S, self._end_linger, end_s)
        else:
            self._transport.close()

    def _record_cut(self, reason: str) -> None:
        if self.holding is not None and not self._cut_reason:
            self._cut_reason = reason
            self._cut_bytes = self._count_unwritten() + self._count_unacknowledged()

    def _count_unwritten(self) -> int:
        return self._unwritten_bytes + self._transport.get_write_buffer_size()

    def _count_unacknowledged(self) -> int:
        return 0 if self._socket is None else count_unacknowledged(self._socket)

    def _write_pieces(self) -> None:
        while self._unwritten and not self._is_writing_paused:
            data = self._unwritten.popleft()
            if len(data) > MAX_PIECE_BYTES:
                self._unwritten.appendleft(data[MAX_PIECE_BYTES:])
            else:
                # Each piece keeps the whole block until the last one is written.
                self._unwritten_block_bytes -= memoryview(data.obj).nbytes
            self._unwritten_bytes -= min(len(data), MAX_PIECE_BYTES)
            self._transport.write(data[:MAX_PIECE_BYTES])
        if self._on_written is not None and not self._unwritten:
            on_written, self._on_written = self._on_written, None
            on_written()

    def _discard_unwritten(self) -> None:
        self._unwritten.clear()
        self._unwritten_bytes = 0
        self._unwritten_block_bytes = 0
        self._on_written = None

    def _mark_lost(self) -> None:
        self._is_lost = True
        self._wake_waiters()
        if self.on_lost is not None:
            self.on_lost()

    def _wake_waiters(self) -> None:
        for waiter in (self._data_waiter, self._drain_waiter):
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    async def _wait(self) -> None:
        self._prepare_wait()
        self._data_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._data_waiter
        finally:
            self._data_waiter = None

    async def _end_turn(self) -> None:
        # Limits apply as they do to a wait for bytes, which may never be needed.
        self._prepare_wait()
        await asyncio.sleep(0)

    def _prepare_wait(self) -> None:
        if self.before_wait is not None:
            self.before_wait()
        if self._interruption is not None:
            error, self._interruption = self._interruption, None
            try:
                raise error
            finally:
                # The traceback refers to this frame. The cycle would keep what the
                # interrupted reader holds, such as a body.
                del error

    def _resume_reading(self) -> None:
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()

    async def _wait_for_bytes(self) -> None:
        while not self._unread and not self._is_lost:
            await self._wait()

    def _take_bytes(self, max_bytes: int) -> bytes:
        if len(self._unread) > max_bytes:
            data = bytes(self._unread[:max_bytes])
            del self._unread[:max_bytes]
            return data
        data = bytes(self._unread)
        self._unread.clear()
        self._resume_reading()
        return data
