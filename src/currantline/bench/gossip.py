"""Cost of gossip for one instance.

Run with ``python -m currantline.bench.gossip``. Fleets of several sizes run on a manual
clock with the production tasks and codec. The overhead of HTTP/2 is measured once, over
loopback through a relay that counts bytes.
"""

import asyncio
import random
import socket
import statistics
import time

import attrs
from absl import app, flags

from currantline.clock import ManualClock
from currantline.load import TargetNotice
from currantline.membership import (
    Contact,
    Gossip,
    InstanceEntry,
    ListedInstance,
    MembershipOptions,
    MembershipTask,
    PublishedList,
)
from currantline.peer import (
    Envelope,
    PeerClient,
    PeerServer,
    RecordMessage,
    decode_gossip,
    encode_gossip,
)

__all__ = ["GossipCost", "measure_fleet", "measure_overhead"]

SIZES = (5, 10, 19, 38)
WARM_UP_MS = 10_000.0
CALLS = 200
HEARTBEAT_AFTER_A_DAY = 345_600


@attrs.frozen(kw_only=True)
class GossipCost:
    """Cost of gossip for one instance of a fleet.

    Parameters
    ----------
    instances : int
        Size of the fleet.
    sent_per_s : float
        Encoded bytes that one instance sends per second, requests and responses.
    calls_per_s : float
        Calls that one instance starts per second.
    mean_age_ms, max_age_ms : float
        Time since the last known heartbeat of another instance.
    lease_share : float
        Share of checks at which an instance held the majority lease.
    cpu_share : float
        Processor time of one instance over elapsed time, codec included.
    missing_members : int
        Instances that were missing from views.
    """

    instances: int
    sent_per_s: float
    calls_per_s: float
    mean_age_ms: float
    max_age_ms: float
    lease_share: float
    cpu_share: float
    missing_members: int


class GossipFleet:
    def __init__(self, count: int, seed: int) -> None:
        self.clock = ManualClock()
        self.options = MembershipOptions(list_retention_ms=1000.0)
        self.sent_bytes = 0
        self.calls = 0
        self.tasks: dict[str, MembershipTask] = {}
        rng = random.Random(seed)
        listed = [_list_instance(number) for number in range(count)]
        self.published = PublishedList(instances=tuple(listed))
        for entry in listed:
            self._start(entry, rng)
        interval_ms = self.options.gossip_interval_ms
        self.phases = sorted(
            (rng.uniform(0, interval_ms), address) for address in self.tasks
        )

    def _start(self, listed: ListedInstance, rng: random.Random) -> None:
        task = MembershipTask(
            InstanceEntry(
                name=listed.name,
                data_centre=listed.data_centre,
                caller_address=listed.caller_address,
                peer_address=listed.peer_address,
                incarnation=1_700_000_000_000 + rng.randrange(10**9),
                heartbeat=HEARTBEAT_AFTER_A_DAY,
            ),
            transport=self,
            clock=self.clock,
            rng=random.Random(rng.random()),
            seeds=[
                Contact(name=each.name, peer_address=each.peer_address)
                for each in self.published.instances
            ],
            options=self.options,
        )
        task.handle_list(self.published, 0.0)
        task.handle_configuration(4000, 3500, 2**63)
        self.tasks[listed.peer_address] = task

    async def exchange(self, address: str, request: Gossip) -> Gossip:
        request_bytes = encode_gossip(request).SerializeToString()
        response = self.tasks[address].handle_request(
            decode_gossip(encode_gossip(request))
        )
        message = encode_gossip(response)
        self.calls += 1
        self.sent_bytes += len(request_bytes) + message.ByteSize()
        return decode_gossip(message)

    async def run(self, duration_ms: float) -> None:
        start = self.clock.read()
        interval_ms = self.options.gossip_interval_ms
        for number in range(int(duration_ms / interval_ms)):
            for phase_ms, address in self.phases:
                self.clock.now = start + number * interval_ms + phase_ms
                await self.tasks[address].step()
            for task in self.tasks.values():
                task.handle_list(self.published, self.clock.read())
            self.sample()
        self.clock.now = start + duration_ms

    def sample(self) -> None:
        """Do nothing; subclasses record samples."""


class _SampledFleet(GossipFleet):
    def __init__(self, count: int, seed: int) -> None:
        super().__init__(count, seed)
        self.ages: list[float] = []
        self.lease_checks: list[bool] = []
        self.missing_members = 0

    def sample(self) -> None:
        now = self.clock.read()
        for task in self.tasks.values():
            rows = task.table.build_request(now).rows
            self.ages += [row.age_ms for row in rows[1:]]
            self.lease_checks.append(task.holds_lease())
            self.missing_members += len(self.tasks) - len(task.table.view(now).names)

    def reset(self) -> None:
        """Discard all samples."""
        self.ages, self.lease_checks, self.missing_members = [], [], 0
        self.sent_bytes = self.calls = 0


def measure_fleet(count: int, *, duration_ms: float, seed: int) -> GossipCost:
    """Run a fleet and return what gossip costs one instance.

    Parameters
    ----------
    count : int
        Size of the fleet.
    duration_ms : float
        Simulated time after the warm-up, in milliseconds.
    seed : int
        Seed of all choices.

    Returns
    -------
    GossipCost
        Means over the fleet and the time.
    """
    fleet = _SampledFleet(count, seed)
    asyncio.run(fleet.run(WARM_UP_MS))
    fleet.reset()
    asyncio.run(fleet.run(duration_ms))
    per_instance_s = count * duration_ms / 1000
    plain = GossipFleet(count, seed)
    asyncio.run(plain.run(WARM_UP_MS))
    begin = time.process_time()
    asyncio.run(plain.run(duration_ms))
    cpu_s = time.process_time() - begin
    return GossipCost(
        instances=count,
        sent_per_s=fleet.sent_bytes / per_instance_s,
        calls_per_s=fleet.calls / per_instance_s,
        mean_age_ms=statistics.fmean(fleet.ages),
        max_age_ms=max(fleet.ages),
        lease_share=statistics.fmean(fleet.lease_checks),
        cpu_share=cpu_s / per_instance_s,
        missing_members=fleet.missing_members,
    )


def measure_overhead(count: int) -> float:
    """Return the bytes of HTTP/2 in one call, both directions together.

    Parameters
    ----------
    count : int
        Size of the fleet whose gossip is sent.

    Returns
    -------
    float
        Bytes on the TCP connection minus the encoded messages. Headers of TCP and IP
        are not counted.
    """
    fleet = GossipFleet(count, seed=1)
    asyncio.run(fleet.run(WARM_UP_MS))
    task = next(iter(fleet.tasks.values()))
    return asyncio.run(
        _measure_call_overhead(task.table.build_request(fleet.clock.read()))
    )


def _list_instance(number: int) -> ListedInstance:
    centre = ("north", "east", "south", "west")[number % 4]
    host = f"10.20.{number // 250 * 4 + number % 4}.{number % 250}"
    return ListedInstance(
        name=f"{centre}-{number}",
        data_centre=centre,
        caller_address=f"{host}:7000",
        peer_address=f"{host}:7100",
    )


class _EchoHandler:
    def handle_gossip(self, request: Gossip) -> Gossip:
        return request

    def list_records(self, after: int) -> tuple[RecordMessage, ...]:
        return ()

    def handle_envelope(self, envelope: Envelope) -> tuple[TargetNotice, ...]:
        return ()


class _Relay:
    """Forwards bytes and counts them."""

    def __init__(self, port: int) -> None:
        self.count = 0
        self._port = port
        self._tasks: list[asyncio.Task[None]] = []

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        out = await asyncio.open_connection("127.0.0.1", self._port)
        self._tasks += [
            asyncio.create_task(self._forward(reader, out[1])),
            asyncio.create_task(self._forward(out[0], writer)),
        ]

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            self.count += len(data)
            writer.write(data)
        writer.close()

    async def stop(self) -> None:
        await asyncio.gather(*self._tasks)


async def _measure_call_overhead(request: Gossip) -> float:
    with socket.socket() as port_finder:
        port_finder.bind(("127.0.0.1", 0))
        port = port_finder.getsockname()[1]
    server = PeerServer(_EchoHandler())
    await server.start(f"127.0.0.1:{port}")
    relay = _Relay(port)
    listener = await asyncio.start_server(relay.accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    client = PeerClient(clock=ManualClock(), rng=random.Random(1))
    await client.exchange(address, request)
    before = relay.count
    for _ in range(CALLS):
        await client.exchange(address, request)
    total = relay.count - before
    client.close()
    await server.stop()
    listener.close()
    await relay.stop()
    return total / CALLS - 2 * encode_gossip(request).ByteSize()


def print_table(duration_ms: float, seed: int) -> None:
    """Measure fleets of all sizes and print a table."""
    print(
        "instances  calls/s  HTTP/2 B/call  sent B/s  sent B/s  both ways  "
        "age mean  age max  lease  busy   missing"
    )
    print(
        "                                    payload  in all       in all  "
        "      ms       ms  share  share"
    )
    for count in SIZES:
        cost = measure_fleet(count, duration_ms=duration_ms, seed=seed)
        overhead = measure_overhead(count)
        # Each instance sends as much as it receives, on average.
        sent = cost.sent_per_s + cost.calls_per_s * overhead
        print(
            f"{count:9d}  {cost.calls_per_s:7.2f}  {overhead:13.0f}  "
            f"{cost.sent_per_s:8.0f}  {sent:8.0f}  {2 * sent:9.0f}  "
            f"{cost.mean_age_ms:8.0f}  {cost.max_age_ms:7.0f}  "
            f"{cost.lease_share:5.3f}  {cost.cpu_share:5.4f}  {cost.missing_members:7d}"
        )


def main(_: list[str]) -> None:
    """Print the table."""
    print_table(flags.FLAGS.duration_ms, flags.FLAGS.seed)


if __name__ == "__main__":
    flags.DEFINE_float("duration_ms", 60_000.0, "Simulated time of each fleet in ms.")
    flags.DEFINE_integer("seed", 1, "Seed of all choices.")
    app.run(main)
