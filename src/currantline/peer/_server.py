"""Service for other instances."""

import asyncio
import weakref
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from currantline.exceptions import WireError
from currantline.load import TargetNotice
from currantline.membership import Gossip
from currantline.peer._codec import (
    MAX_MESSAGE_BYTES,
    LimitedCodec,
    decode_envelope,
    decode_gossip,
    encode_ack,
    encode_gossip,
    encode_records,
)
from currantline.peer._generated.peer_grpc import PeerBase
from currantline.peer._messages import Envelope, RecordMessage

__all__ = ["PeerHandler", "PeerServer"]

PEER_TIMEOUT_MS = 500.0

# Room for the fields of a record besides its body.
RECORD_OVERHEAD_BYTES = 1024


class PeerHandler(Protocol):
    """What answers other instances."""

    def handle_gossip(self, question: Gossip) -> Gossip:
        """Return the answer to a question."""
        ...

    def list_records(self, after: int) -> tuple[RecordMessage, ...]:
        """Return the records above a sequence, in order."""
        ...

    def handle_envelope(self, envelope: Envelope) -> tuple[TargetNotice, ...]:
        """Take over a batch of messages and return evidence that it asks for."""
        ...


class PeerServer:
    """Listens for other instances.

    Parameters
    ----------
    handler : PeerHandler
        What answers.
    timeout_ms : float, default=500.0
        Longest time for a whole question to arrive, in milliseconds.
    """

    def __init__(
        self, handler: PeerHandler, *, timeout_ms: float = PEER_TIMEOUT_MS
    ) -> None:
        service = _PeerService(handler, timeout_ms)
        self._server = _ClosingServer([service], codec=LimitedCodec())

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        host, _, port = address.rpartition(":")
        await self._server.start(host.strip("[]"), int(port))

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        self._server.close()
        self._server.close_connections()
        await self._server.wait_closed()


class _ClosingServer(Server):
    # Server.close of grpclib stops listening but goes on answering over open
    # connections, so that a stopped instance would look alive to its peers.

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def close_connections(self) -> None:
        """Drop all connections."""
        for protocol in tuple(self._protocols):
            protocol.processor.close()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol


class _PeerService(PeerBase):
    def __init__(self, handler: PeerHandler, timeout_ms: float) -> None:
        self._handler = handler
        self._timeout_ms = timeout_ms

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        async with self._receive(stream) as message:
            answer = self._handler.handle_gossip(decode_gossip(message))
            await stream.send_message(encode_gossip(answer))

    async def FetchRecords(self, stream: Any) -> None:  # noqa: N802
        async with self._receive(stream) as message:
            records = self._handler.list_records(message.sequence)
            await stream.send_message(encode_records(_limit_size(records)))

    async def Deliver(self, stream: Any) -> None:  # noqa: N802
        async with self._receive(stream) as message:
            notices = self._handler.handle_envelope(decode_envelope(message))
            await stream.send_message(encode_ack(notices))

    @asynccontextmanager
    async def _receive(self, stream: Any) -> AsyncIterator[Any]:
        try:
            # grpclib buffers a whole message before the codec sees its size; the
            # timeout bounds what can gather.
            async with asyncio.timeout(self._timeout_ms / 1000):
                message = await stream.recv_message()
            if message is None:
                raise WireError("no message")
            yield message
        except (WireError, AssertionError, NotImplementedError) as error:
            # grpclib raises the latter two on a cut off or compressed message.
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        except TimeoutError as error:
            raise GRPCError(Status.DEADLINE_EXCEEDED, "no whole message") from error


def _limit_size(records: tuple[RecordMessage, ...]) -> list[RecordMessage]:
    # The peer asks again for the rest. One record always fits: the service stores
    # values of at most 1 MB.
    chosen: list[RecordMessage] = []
    size = 0
    for record in records:
        size += len(record.document) + RECORD_OVERHEAD_BYTES
        if chosen and size > MAX_MESSAGE_BYTES:
            break
        chosen.append(record)
    return chosen
