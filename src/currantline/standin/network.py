"""In-memory network and event loop with virtual time.

Unmodified instances run on it in a single process and deterministically: time
advances only when no callback is ready, and bytes take a fixed latency between hosts.
Hosts can be partitioned, processes can be frozen and killed, and open connections can
be turned into black holes.
"""

import asyncio
import contextvars
import selectors
from collections import defaultdict
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

import attrs

from currantline.exceptions import InvariantError
from currantline.standin._transport import (
    HOST,
    PROCESS,
    MemoryDatagrams,
    MemoryServer,
    MemoryTransport,
)

__all__ = [
    "PROCESS",
    "LoopClock",
    "MemoryLoop",
    "Network",
    "run_on_host",
    "run_session",
]

T = TypeVar("T")


@attrs.define
class Network:
    """Reachability of hosts, by IP address, and state of their processes.

    Parameters
    ----------
    latency_ms : float
        One-way latency between two hosts.
    """

    latency_ms: float = 0.2
    frozen: set[str] = attrs.field(factory=set)
    _groups: tuple[frozenset[str], ...] = ()
    _deferred: dict[str, list[Callable[[], None]]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    # A dict keeps the order of opening; the order of a set differs between runs.
    _transports: dict[MemoryTransport, None] = attrs.field(factory=dict)

    def partition(self, *groups: Iterable[str]) -> None:
        """Stop the traffic between different groups of hosts until `heal`.

        Bytes on connections are held back; datagrams are lost.
        """
        self._groups = tuple(frozenset(group) for group in groups)

    def heal(self) -> None:
        """End the partition and send the bytes that were held back."""
        self._groups = ()
        for transport in tuple(self._transports):
            transport.send_pending()

    def is_partitioned(self, source: str, destination: str) -> bool:
        """Return whether two hosts are in different partitions."""
        groups = [
            number
            for number, group in enumerate(self._groups)
            if source in group or destination in group
        ]
        return len(groups) > 1

    def freeze(self, process: str) -> None:
        """Suspend a process; its callbacks are deferred."""
        self.frozen.add(process)

    def thaw(self, process: str) -> None:
        """Resume a process and schedule its deferred callbacks."""
        self.frozen.discard(process)
        loop = asyncio.get_running_loop()
        for callback in self._deferred.pop(process, ()):
            loop.call_soon(callback)

    def kill(self, process: str) -> None:
        """Kill a process: stop its callbacks and close its sockets as a kernel does."""
        self.frozen.add(process)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, MemoryLoop)
        for address, (_, context) in tuple(loop.listeners.items()):
            if context.get(PROCESS) == process:
                del loop.listeners[address]
        for socket in tuple(loop.datagrams.values()):
            if socket.process == process:
                socket.close()
        for transport in tuple(self._transports):
            if transport.process == process:
                transport.abort()
                self.forget(transport)

    def blackhole(self, host: str, others: Iterable[str] | None = None) -> None:
        """Discard all traffic on open connections of a host, or on those to others."""
        selected = None if others is None else frozenset(others)
        for transport in tuple(self._transports):
            ends = (transport.host, transport.peer_host)
            if host not in ends:
                continue
            other = ends[1 - ends.index(host)]
            if selected is None or other in selected:
                transport.is_blackholed = True

    def thaw_all(self) -> None:
        """Thaw all processes, including killed ones, so that their tasks can end."""
        self.frozen.clear()
        for process in tuple(self._deferred):
            self.thaw(process)

    def defer(self, process: str, callback: Callable[[], None]) -> None:
        """Defer a callback until its process is thawed."""
        self._deferred[process].append(callback)

    def register(self, transport: MemoryTransport) -> None:
        """Register one end of an open connection."""
        self._transports[transport] = None

    def forget(self, transport: MemoryTransport) -> None:
        """Unregister a closed end of a connection."""
        self._transports.pop(transport, None)


class _VirtualTimeSelector(selectors.BaseSelector):
    """Selector without file descriptors that advances virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._keys: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> Any:
        return self._keys.pop(fileobj)

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise InvariantError(
                "deadlock: no callback is scheduled and all tasks are waiting"
            )
        self.now += max(0.0, timeout)
        return []

    def get_map(self) -> Any:
        return self._keys


class _ProcessCallback:
    """A callback that is deferred while its process is frozen."""

    __slots__ = ("_args", "_callback", "_context", "_network", "handle")

    def __init__(
        self,
        network: Network,
        callback: Any,
        args: tuple[Any, ...],
        context: contextvars.Context,
    ) -> None:
        self._network = network
        self._callback = callback
        self._args = args
        self._context = context
        self.handle: asyncio.Handle | None = None

    def run(self) -> None:
        process = self._context.get(PROCESS, "")
        if process and process in self._network.frozen:
            self._network.defer(process, self._run_deferred)
        else:
            self._callback(*self._args)

    def _run_deferred(self) -> None:
        # Another callback may have cancelled this one since the thaw.
        if self.handle is None or not self.handle.cancelled():
            self._context.run(self._callback, *self._args)


class MemoryLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time and in-memory connections.

    Parameters
    ----------
    network : Network
        Reachability of hosts.
    """

    def __init__(self, network: Network) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        self.network = network
        self.listeners: dict[tuple[str, int], tuple[Any, contextvars.Context]] = {}
        self.datagrams: dict[tuple[str, int], MemoryDatagrams] = {}
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return virtual time in seconds."""
        return self._virtual_selector.now

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback, deferred while its process is frozen."""
        # Not `or`: an empty context is falsy and would be replaced by the current one.
        context = contextvars.copy_context() if context is None else context
        wrapper = _ProcessCallback(self.network, callback, args, context)
        wrapper.handle = super().call_soon(wrapper.run, context=context)
        return wrapper.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Any,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time, deferred while its process is frozen."""
        # Not `or`: an empty context is falsy and would be replaced by the current one.
        context = contextvars.copy_context() if context is None else context
        wrapper = _ProcessCallback(self.network, callback, args, context)
        handle = super().call_at(when, wrapper.run, context=context)
        wrapper.handle = handle
        return handle

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Any, host: str, port: int, **_: Any
    ) -> MemoryServer:
        """Listen on an address of the in-memory network."""
        address = (host, int(port))
        if address in self.listeners:
            raise OSError(98, "Address already in use")
        self.listeners[address] = (protocol_factory, contextvars.copy_context())
        return MemoryServer(self, address)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: str, port: int, **_: Any
    ) -> tuple[MemoryTransport, Any]:
        """Connect to an address of the in-memory network."""
        source = HOST.get()
        await asyncio.sleep(2 * self.network.latency_ms / 1000)
        while self.network.is_partitioned(source, host):
            await asyncio.sleep(0.05)
        if (host, int(port)) not in self.listeners:
            raise ConnectionRefusedError(111, "Connection refused")
        server_factory, context = self.listeners[(host, int(port))]
        client = MemoryTransport(self, protocol_factory(), source, host)
        server = context.run(
            self._create_server_transport, server_factory, host, source
        )
        client.peer, server.peer = server, client
        client.get_protocol().connection_made(client)
        self.call_soon(server.get_protocol().connection_made, server, context=context)
        return client, client.get_protocol()

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: tuple[str, int], **_: Any
    ) -> tuple[MemoryDatagrams, Any]:
        """Open a datagram socket on an address of the in-memory network."""
        protocol = protocol_factory()
        transport = MemoryDatagrams(self, protocol, local_addr)
        self.datagrams[local_addr] = transport
        protocol.connection_made(transport)
        return transport, protocol

    def _create_server_transport(
        self, server_factory: Any, host: str, source: str
    ) -> MemoryTransport:
        return MemoryTransport(self, server_factory(), host, source)


@attrs.frozen
class LoopClock:
    """Clock that reads the time of an event loop."""

    loop: asyncio.AbstractEventLoop

    def read(self) -> float:
        """Return the time of the loop in milliseconds."""
        return self.loop.time() * 1000


def run_on_host(
    host: str, coroutine: Coroutine[Any, Any, T], *, process: str = ""
) -> "asyncio.Task[T]":
    """Run a coroutine as a task of a process on a host.

    Parameters
    ----------
    host : str
        IP address of the host.
    coroutine : coroutine
        Coroutine to run.
    process : str
        Name of the process for `freeze` and `kill`; defaults to the host.

    Returns
    -------
    asyncio.Task
        The task.
    """
    context = contextvars.copy_context()
    context.run(HOST.set, host)
    context.run(PROCESS.set, process or host)
    return asyncio.get_running_loop().create_task(coroutine, context=context)


def run_session(network: Network, session: Coroutine[Any, Any, T]) -> T:
    """Run a session on a loop with virtual time and cancel its remaining tasks.

    Parameters
    ----------
    network : Network
        Reachability of hosts.
    session : coroutine
        Coroutine to run.

    Returns
    -------
    object
        Result of the session.
    """
    loop = MemoryLoop(network)
    try:
        return loop.run_until_complete(session)
    finally:
        # Tasks of frozen and killed processes have to run to be cancelled.
        loop.run_until_complete(_cancel_all(network))
        loop.close()


async def _cancel_all(network: Network) -> None:
    # Cancelled tasks may start new ones to release their resources.
    while remaining := asyncio.all_tasks() - {asyncio.current_task()}:
        for task in remaining:
            task.cancel()
        # Otherwise deferred callbacks of frozen processes would never run.
        network.thaw_all()
        await asyncio.gather(*remaining, return_exceptions=True)
