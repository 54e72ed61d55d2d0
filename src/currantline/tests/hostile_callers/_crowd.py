"""Many hostile connections to one port of an instance, and what they cost it."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable
from pathlib import Path

import attrs

from currantline.tests.hostile_callers._instance import (
    CALLERS,
    Instance,
    Limits,
    Port,
    Use,
    run_instance,
)

__all__ = ["Crowd", "Reading", "find_violations"]

USUAL_LIMITS = Limits()

# Maximum number of bytes that are handed to a socket at once.
PIECE_BYTES = 65_536

# Receive buffer of callers that read slowly, so that answers stay in the instance.
SMALL_BUFFER_BYTES = 4096

# Number and size of the reads of a slow reader.
SLOW_READS, SLOW_READ_BYTES = 20, 512

# Pause between two sends or reads of a slow caller.
SLOW_INTERVAL_S = 0.1

# Number of connections that are being opened at the same time; the backlog of the
# listening sockets is 100 or more.
CONNECTS = 50

# The load counts as taken in when no caller has sent anything for this many polls, of
# which the process was seen running in few. A connection that a full backlog refused is
# tried again after one second, so the time is longer while connections are missing.
POLL_INTERVAL_S, STILL_POLLS, CONNECTING_POLLS, RUNNING_POLLS = 0.02, 25, 75, 2

# The load also counts as taken in after this time.
MAX_LOAD_S = 20.0


class Reading:
    """How callers read the answers."""

    NEVER, SLOWLY, AT_ONCE = range(3)


@attrs.frozen(kw_only=True)
class Crowd:
    """Connections that all send the same.

    Parameters
    ----------
    port : Port
        Port that they connect to.
    connections : int
        Number of connections. They stay open.
    pieces : callable
        Returns the pieces that a connection sends.
    trickle : bytes
        Sent after the pieces, one byte at a time with a pause after each.
    reading : int
        How the answers are read, see `Reading`.
    """

    port: Port
    connections: int
    pieces: Callable[[], Iterable[bytes]]
    trickle: bytes = b""
    reading: int = Reading.AT_ONCE


@attrs.define
class _Load:
    """Runs a crowd."""

    crowd: Crowd
    instance: Instance
    use: Use
    steps: int = 0
    connected: int = 0
    sockets: list[socket.socket] = attrs.field(factory=list)
    tasks: "list[asyncio.Task[None]]" = attrs.field(factory=list)
    connects: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(CONNECTS)
    )

    def start(self) -> None:
        """Open the connections and send."""
        for _ in range(self.crowd.connections):
            self.tasks.append(asyncio.create_task(self._run_caller()))

    async def wait_until_taken_in(self) -> None:
        """Wait until the instance takes no more, and record what it uses."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + MAX_LOAD_S
        steps, polls, running = -1, 0, 0
        while loop.time() < end_s:
            is_complete = self.connected == self.crowd.connections
            if polls >= (STILL_POLLS if is_complete else CONNECTING_POLLS):
                return
            await asyncio.sleep(POLL_INTERVAL_S)
            self.instance.update(self.use)
            polls += 1
            running += not self.instance.is_sleeping()
            if steps != self.steps or running > RUNNING_POLLS:
                steps, polls, running = self.steps, 0, 0

    async def stop(self) -> None:
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for sock in self.sockets:
            sock.close()

    async def _run_caller(self) -> None:
        crowd, loop = self.crowd, asyncio.get_running_loop()
        sock = socket.socket()
        self.sockets.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if crowd.reading != Reading.AT_ONCE:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        # The instance may refuse the connection or close it.
        with contextlib.suppress(OSError):
            async with self.connects:
                await loop.sock_connect(sock, (self.instance.host, crowd.port.number))
            self.steps += 1
            self.connected += 1
            if crowd.reading != Reading.NEVER:
                self.tasks.append(asyncio.create_task(self._read(sock)))
            for piece in crowd.pieces():
                await loop.sock_sendall(sock, piece)
                self.steps += 1
                await asyncio.sleep(0)
            for byte in crowd.trickle:
                await loop.sock_sendall(sock, bytes([byte]))
                self.steps += 1
                await asyncio.sleep(SLOW_INTERVAL_S)

    async def _read(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        is_slow = self.crowd.reading == Reading.SLOWLY
        reads = 0
        with contextlib.suppress(OSError):
            while not is_slow or reads < SLOW_READS:
                size = SLOW_READ_BYTES if is_slow else PIECE_BYTES
                if not await loop.sock_recv(sock, size):
                    return
                reads += 1
                self.steps += is_slow
                await asyncio.sleep(SLOW_INTERVAL_S if is_slow else 0)


def find_violations(
    folder: Path, crowd: Crowd, limits: Limits = USUAL_LIMITS
) -> list[str]:
    """Run an instance under the load of a crowd and return the broken requirements.

    The ordinary requests are sent after the crowd has sent everything that the instance
    takes, while the connections of the crowd are open.
    """
    return asyncio.run(_find_violations(folder, crowd, limits))


async def _find_violations(folder: Path, crowd: Crowd, limits: Limits) -> list[str]:
    use = Use()
    async with run_instance(folder, limits) as instance:
        load = _Load(crowd, instance, use)
        try:
            load.start()
            await load.wait_until_taken_in()
            ports = {CALLERS, crowd.port}
            statuses = {port.name: await instance.call(port) for port in ports}
            instance.update(use)
            is_running = instance.is_running
        finally:
            await load.stop()
    print(f"used {use.peak_memory_mb:.0f} MB, {use.descriptors} descriptors")
    violations = [
        f"an ordinary request on the {name} port got status {status}"
        for name, status in sorted(statuses.items())
        if status != 200
    ]
    if not is_running:
        violations.append("the process has ended")
    if use.peak_memory_mb > limits.memory_mb:
        violations.append(f"{use.peak_memory_mb:.0f} of {limits.memory_mb} MB")
    if use.descriptors > instance.max_descriptors:
        violations.append(
            f"{use.descriptors} of {instance.max_descriptors} descriptors"
        )
    return violations
