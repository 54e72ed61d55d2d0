"""Tests of calls between instances over loopback."""

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import pytest
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status as GrpcStatus
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError

from currantline.clock import ManualClock
from currantline.dispatch import Demand, Lend, Renew, Return, Usage
from currantline.exceptions import PeerError, PeerTimeoutError, WireError
from currantline.load import TargetNotice, TargetState
from currantline.membership import (
    Contact,
    FullRow,
    Gossip,
    GossipRow,
    GossipState,
    InstanceEntry,
    MembershipTask,
    Status,
)
from currantline.peer import (
    MAX_MESSAGE_BYTES,
    Envelope,
    PeerClient,
    PeerServer,
    RecordMessage,
    decode_envelope,
    decode_gossip,
    decode_records,
    encode_envelope,
    encode_gossip,
    encode_records,
)
from currantline.peer._generated import peer_pb2 as pb
from currantline.standin.alarms import collect_errors
from currantline.standin.network import Network, run_on_host, run_session

STATE = GossipState(
    status=Status.READY,
    sequence=7,
    version=5,
    view_digest=2**64 - 1,
    configuration_digest=3,
)
ENTRY = STATE.apply(
    InstanceEntry(
        name="b",
        data_centre="north",
        caller_address="127.0.0.1:7000",
        peer_address="[::1]:7100",
        incarnation=1_700_000_000_000,
    ),
    heartbeat=12,
)
GOSSIP = Gossip(
    sender="a",
    rows=(GossipRow(key=9, heartbeat=2**40, age_ms=120.0, state=STATE),),
    introduced=(FullRow(entry=ENTRY, age_ms=30.0),),
    unknown=(2**32 - 1,),
    lease_digest=5,
    proofs=(None, 0.0, 40.0),
)
ENVELOPE = Envelope(
    sender="a",
    messages=(
        Demand(
            service="s",
            short_waiting=3,
            long_waiting=0,
            oldest_short_ms=1.5,
            oldest_long_ms=0.0,
            free_slots=1,
            number=5,
        ),
        Lend(
            loan_id=4,
            service="s",
            target="t",
            lease_ms=300.0,
            allow_long=True,
            number=6,
        ),
        Renew(loan_id=4),
        Return(loan_id=4),
        Usage(service="s", target="t", in_use=2),
    ),
    notices=(TargetNotice(target="t", state=TargetState.DRAINING, age_ms=12.5),),
    asked=("t", "u"),
)


def make_record(sequence: int, body: bytes = b"{}") -> RecordMessage:
    """Return a patch."""
    return RecordMessage(sequence=sequence, document=body)


class Handler:
    """Answers with what it was given."""

    def __init__(self) -> None:
        self.records: tuple[RecordMessage, ...] = ()
        self.envelopes: list[Envelope] = []

    def handle_gossip(self, question: Gossip) -> Gossip:
        """Return the question."""
        return question

    def list_records(self, after: int) -> tuple[RecordMessage, ...]:
        """Return the records above a sequence."""
        return tuple(record for record in self.records if record.sequence > after)

    def handle_envelope(self, envelope: Envelope) -> tuple[TargetNotice, ...]:
        """Keep a batch and return its notices."""
        self.envelopes.append(envelope)
        return envelope.notices


class GossipHandler(Handler):
    """Answers with a membership task."""

    task: MembershipTask

    def handle_gossip(self, question: Gossip) -> Gossip:
        """Return what the task answers."""
        return self.task.handle_request(question)


class RawCodec(CodecBase):
    """Passes bytes as they are."""

    __content_subtype__ = "proto"

    def encode(self, message: bytes, message_type: object) -> bytes:
        """Return the bytes."""
        return message

    def decode(self, data: bytes, message_type: object) -> bytes:
        """Return the bytes."""
        return data


@asynccontextmanager
async def serve(handler: Handler) -> AsyncIterator[str]:
    """Run a server on a free port of loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    server = PeerServer(handler)
    await server.start(address)
    try:
        yield address
    finally:
        await server.stop()


@asynccontextmanager
async def connect(clock: ManualClock | None = None) -> AsyncIterator[PeerClient]:
    """Run a client."""
    client = PeerClient(clock=clock or ManualClock(), rng=random.Random(1))
    try:
        yield client
    finally:
        client.close()


class TestCodec:
    """Conversion of messages."""

    def test_round_trip(self) -> None:
        """Guards against a field that is lost or changed on the way."""
        assert decode_gossip(encode_gossip(GOSSIP)) == GOSSIP
        assert decode_envelope(encode_envelope(ENVELOPE)) == ENVELOPE
        short = attrs.evolve(GOSSIP, rows=(attrs.evolve(GOSSIP.rows[0], key=0),))
        short = attrs.evolve(short, omits_keys=True, set_digest=2**63)
        assert decode_gossip(encode_gossip(short)) == short
        records = (make_record(3), make_record(4, b'{"a": [1]}'))
        assert decode_records(encode_records(records)) == records

    def test_ages_round_up(self) -> None:
        """Guards against a proof that is younger after a hop than before."""
        row = attrs.evolve(GOSSIP.rows[0], age_ms=0.1)
        gossip = attrs.evolve(GOSSIP, rows=(row,), proofs=(10.1,))
        decoded = decode_gossip(encode_gossip(gossip))
        assert (decoded.rows[0].age_ms, decoded.proofs) == (10.0, (20.0,))

    @pytest.mark.parametrize(
        "change",
        [
            lambda m: m.keys.append(1),
            lambda m: m.row_states.append(1),
            lambda m: m.states[0].__setattr__("status", 3),
            lambda m: m.__setattr__("sender", ""),
            lambda m: m.__setattr__("sender", "a\n"),
            lambda m: m.instances[0].__setattr__("name", "x" * 257),
            lambda m: m.instances[0].__setattr__("peer_address", "host:1"),
            lambda m: m.proofs.extend([0] * 1025),
        ],
    )
    def test_malformed_gossip(self, change: Callable[[pb.Gossip], None]) -> None:
        """Guards against gossip that breaks the table instead of being refused."""
        message = encode_gossip(GOSSIP)
        change(message)
        with pytest.raises(WireError):
            decode_gossip(message)

    def test_records_out_of_order(self) -> None:
        """Guards against records applied twice or backwards."""
        with pytest.raises(WireError):
            decode_records(encode_records([make_record(2), make_record(2)]))

    @pytest.mark.parametrize("age_ms", [-1.0, float("nan"), float("inf")])
    def test_malformed_notice(self, age_ms: float) -> None:
        """Guards against evidence that counts as younger than it is."""
        message = encode_envelope(ENVELOPE)
        message.notices[0].age_ms = age_ms
        with pytest.raises(WireError):
            decode_envelope(message)

    def test_empty_slot_message(self) -> None:
        """Guards against a message of a later release taken for another one."""
        message = pb.Envelope(sender="a", messages=[pb.SlotMessage()])
        with pytest.raises(WireError):
            decode_envelope(message)


class TestPeer:
    """Client and server over loopback."""

    def test_calls(self) -> None:
        """Guards against a method that is wired to the wrong handler."""

        async def run() -> None:
            handler = Handler()
            handler.records = (make_record(1), make_record(2))
            async with serve(handler) as address, connect() as client:
                assert await client.exchange(address, GOSSIP) == GOSSIP
                assert await client.fetch_records(address, 1) == (make_record(2),)
                notices = await client.deliver(address, ENVELOPE)
                assert notices == ENVELOPE.notices
                assert handler.envelopes == [ENVELOPE]

        asyncio.run(run())

    def test_records_in_parts(self) -> None:
        """Guards against a history that no longer fits into one message."""

        async def run() -> None:
            handler = Handler()
            body = b'"' + b"x" * (MAX_MESSAGE_BYTES // 3) + b'"'
            handler.records = tuple(make_record(n, body) for n in range(1, 8))
            got: list[int] = []
            async with serve(handler) as address, connect() as client:
                while len(got) < 7:
                    part = await client.fetch_records(address, len(got))
                    got += [record.sequence for record in part]
            assert got == [1, 2, 3, 4, 5, 6, 7]

        asyncio.run(run())

    @pytest.mark.parametrize(
        "data",
        [
            b"\xff\xff\xff",
            pb.Gossip(sender="a", keys=[1]).SerializeToString(),
            pb.Gossip(sender="x" * (MAX_MESSAGE_BYTES + 1)).SerializeToString(),
        ],
    )
    def test_malformed_question(self, data: bytes) -> None:
        """Guards against a peer's bytes that stop the server."""

        async def run() -> None:
            async with serve(Handler()) as address, connect() as client:
                host, _, port = address.rpartition(":")
                async with Channel(host, int(port), codec=RawCodec()) as channel:
                    method: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
                        channel, "/currantline.peer.Peer/Exchange", pb.Gossip, pb.Gossip
                    )
                    with pytest.raises(GRPCError) as caught:
                        await method(data)
                assert caught.value.status is GrpcStatus.INVALID_ARGUMENT
                assert await client.exchange(address, GOSSIP) == GOSSIP

        asyncio.run(run())

    def test_not_a_peer(self) -> None:
        """Guards against bytes that are no HTTP/2 ending as an untyped error."""

        async def answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            writer.close()

        async def run() -> None:
            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            async with connect() as client:
                with pytest.raises(PeerError):
                    await client.exchange(address, GOSSIP)
            server.close()

        asyncio.run(run())

    def test_silent_peer(self) -> None:
        """Guards against a call that waits forever or reuses a silent channel."""

        async def run() -> None:
            opened = 0
            done = asyncio.Event()

            async def hold(_: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
                nonlocal opened
                opened += 1
                with contextlib.closing(w):
                    await done.wait()

            server = await asyncio.start_server(hold, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            clock = ManualClock()
            async with connect(clock) as client:
                for _ in range(2):
                    with pytest.raises(PeerTimeoutError):
                        await client.exchange(address, GOSSIP)
                    clock.advance(10_000)
            done.set()
            server.close()
            assert opened == 2

        asyncio.run(run())

    def test_backoff(self) -> None:
        """Guards against a stopped peer that answers or is dialled for each call."""

        async def run() -> None:
            clock = ManualClock()
            async with connect(clock) as client:
                async with serve(Handler()) as address:
                    await client.exchange(address, GOSSIP)
                with pytest.raises(PeerError):
                    await client.exchange(address, GOSSIP)
                with pytest.raises(PeerError, match="a short while ago"):
                    await client.exchange(address, GOSSIP)
                clock.advance(100)
                with pytest.raises(PeerError, match="cannot reach"):
                    await client.exchange(address, GOSSIP)

        asyncio.run(run())

    def test_late_connection(self) -> None:
        """Guards against a connection that nobody closes.

        Two calls share a channel that is being opened. The first times out and
        the second opens the connection after all.
        """
        network = Network()
        alarms: list[str] = []

        async def call() -> None:
            client = PeerClient(clock=ManualClock(), rng=random.Random(1))
            network.partition(["10.0.0.1"], ["10.0.0.2"])
            first = asyncio.create_task(client.exchange("10.0.0.1:80", GOSSIP))
            await asyncio.sleep(0.3)
            second = asyncio.create_task(client.exchange("10.0.0.1:80", GOSSIP))
            await asyncio.sleep(0.3)
            network.heal()
            with pytest.raises(PeerTimeoutError):
                await first
            assert await second == GOSSIP
            client.close()

        async def session() -> None:
            server = PeerServer(Handler())
            await run_on_host("10.0.0.1", server.start("10.0.0.1:80"))
            with collect_errors(alarms):
                await run_on_host("10.0.0.2", call())

        run_session(network, session())
        assert alarms == []

    def test_membership(self) -> None:
        """Guards against gossip that works in memory but not over the network."""

        async def run() -> None:
            clock = ManualClock()
            async with connect(clock) as client:
                tasks = [
                    MembershipTask(
                        attrs.evolve(ENTRY, name=name, peer_address=address),
                        transport=client,
                        clock=clock,
                        rng=random.Random(1),
                        seeds=[Contact(name="a", peer_address=addresses[0])],
                    )
                    for name, address in zip("abc", addresses, strict=True)
                ]
                for handler, task in zip(handlers, tasks, strict=True):
                    handler.task = task
                for _ in range(3):
                    for task in tasks:
                        await task.step()
                views = [task.table.view(clock.read()) for task in tasks]
                assert [view.names for view in views] == [("a", "b", "c")] * 3

        async def run_all() -> None:
            async with (
                serve(handlers[0]) as first,
                serve(handlers[1]) as second,
                serve(handlers[2]) as third,
            ):
                addresses.extend((first, second, third))
                await run()

        handlers, addresses = [GossipHandler() for _ in range(3)], list[str]()
        asyncio.run(run_all())
