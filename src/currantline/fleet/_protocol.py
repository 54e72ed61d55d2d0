"""SWIM protocol over UDP: probing, failure detection and dissemination."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, cast

import attrs

from currantline.clock import Clock
from currantline.exceptions import PeerError
from currantline.fleet._codec import decode_datagram, encode_datagram
from currantline.fleet._member import Datagram, DatagramKind, Health, Member
from currantline.fleet._membership_list import MembershipList
from currantline.fleet._probes import ProbeTracker
from currantline.fleet._replica_puller import ReplicaPuller
from currantline.replica import Replica
from currantline.telemetry import EventLog

__all__ = ["MembershipProtocol"]

# Interval between checks for timed-out probes.
TICK_INTERVAL_MS = 125.0

# Each instance pings one neighbour per interval, so on average each is pinged once per
# interval.
PROBE_INTERVAL_TICKS = 2

# Interval between attempts to reach seeds and dead instances once others are known.
# Partitions heal no faster than this.
RECONNECT_INTERVAL_TICKS = 16

# Maximum number of hosts contacted in one such attempt.
MAX_RECONNECT_HOSTS = 3

# Number of neighbours that are asked to probe an instance that did not answer.
INDIRECT_PROBES = 2

# Number of neighbours that are notified immediately of a replica change; each of them
# notifies as many.
REPLICA_UPDATE_FANOUT = 3

# Number of neighbours that are notified immediately of a change of this instance,
# which must reach all without further hops.
MEMBER_UPDATE_FANOUT = 40

# Maximum number of pings in flight on behalf of other instances.
MAX_INDIRECT_PINGS = 256

# Time after the start during which members are not logged individually, because all of
# them are new.
MEMBER_LOG_DELAY_MS = 3_000.0


@attrs.frozen
class _PingRequest:
    host: str
    sequence_number: int


class MembershipProtocol(asyncio.DatagramProtocol):
    """Probes other instances, updates the membership list and disseminates changes.

    Owns the UDP socket.

    Parameters
    ----------
    membership : MembershipList
        Members to probe and to update.
    replica : Replica
        Replica whose revision and digest are advertised.
    replica_puller : ReplicaPuller
        Receives the advertised replica states of other instances.
    port : int
        UDP port of all instances.
    data_centres : sequence of str
        Names of all data centres, in the same order on all instances.
    list_seeds : callable
        Returns the seed hosts, contacted to join the fleet and after partitions.
    refresh : callable
        Updates this instance in the membership list; returns whether it changed.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness for receivers and gossip.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        membership: MembershipList,
        *,
        replica: Replica,
        replica_puller: ReplicaPuller,
        port: int,
        data_centres: Sequence[str],
        list_seeds: Callable[[], Iterable[str]],
        refresh: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self._membership = membership
        self._replica = replica
        self._replica_puller = replica_puller
        self._port = port
        self._data_centres = data_centres
        self._list_seeds = list_seeds
        self._refresh = refresh
        self._clock = clock
        self._rng = rng
        self._log = log
        self._probes = ProbeTracker(rng)
        self._indirect_pings: dict[int, _PingRequest] = {}
        self._known_counts: dict[str, int] = {}
        self._started_ms = clock.read()
        self._logged_health: dict[str, Health] = {}
        self._tick = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket.

        Raises
        ------
        OSError
            If the port cannot be used.
        """
        loop = asyncio.get_running_loop()
        address = (self._membership.local_member.host, self._port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket."""
        # The transport of the event loop is not a subclass of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Merge the content of a datagram and reply to it."""
        try:
            datagram = decode_datagram(data, self._data_centres)
        except PeerError as error:
            self._log.write("datagram_refused", peer=addr[0], reason=str(error))
            return
        sender = datagram.sender.host
        self._known_counts[sender] = datagram.known_count
        self._membership.receive(datagram, self._clock.read())
        self._replica_puller.observe(datagram)
        if datagram.kind is DatagramKind.PING:
            self._send(
                sender, DatagramKind.ACK, sequence_number=datagram.sequence_number
            )
        elif datagram.kind is DatagramKind.PING_REQUEST:
            self._handle_ping_request(datagram)
        elif datagram.kind is DatagramKind.ACK:
            self._handle_ack(datagram.sequence_number)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable hosts; their probes time out."""

    async def run(self) -> None:
        """Probe other instances until cancelled."""
        while True:
            now = self._clock.read()
            if self._refresh():
                self.notify_member_change()
            self._handle_timed_out_probes(now)
            self._membership.expire(now)
            if self._tick % PROBE_INTERVAL_TICKS == 0:
                self._probe_next()
            if (
                not self._membership.list_live()
                or self._tick % RECONNECT_INTERVAL_TICKS == 0
            ):
                self._reconnect()
            self._log_changes(now)
            self._tick += 1
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    def notify_member_change(self) -> None:
        """Notify other instances immediately of a change of this instance."""
        self._refresh()
        self._notify_neighbours(MEMBER_UPDATE_FANOUT)
        self._notify_data_centres()

    def notify_replica_change(self, *, is_from_platform: bool) -> None:
        """Notify other instances immediately that the replica changed.

        Parameters
        ----------
        is_from_platform : bool
            Whether the change was read from the platform. Only then are other data
            centres notified as well.
        """
        self._notify_neighbours(REPLICA_UPDATE_FANOUT)
        if is_from_platform:
            self._notify_data_centres()

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _notify_neighbours(self, fanout: int) -> None:
        neighbours = self._membership.list_neighbours()
        for member in self._rng.sample(neighbours, min(fanout, len(neighbours))):
            self._send(member.host, DatagramKind.UPDATE)

    def _notify_data_centres(self) -> None:
        for data_centre in self._data_centres:
            members = self._list_remote(data_centre)
            if members:
                self._send(self._rng.choice(members).host, DatagramKind.UPDATE)

    def _list_remote(self, data_centre: str) -> list[Member]:
        if data_centre == self._membership.local_member.data_centre:
            return []
        return self._membership.list_remote(data_centre)

    def _probe_next(self) -> None:
        neighbours = self._membership.list_neighbours()
        member = self._probes.choose_next(neighbours)
        if member is not None:
            self._ping(member)
        # On average, one instance of this data centre pings another data centre per
        # probe interval.
        if self._rng.random() * (len(neighbours) + 1) >= 1.0:
            return
        remote = [m for name in self._data_centres for m in self._list_remote(name)]
        if remote:
            self._ping(self._rng.choice(remote))

    def _ping(self, member: Member) -> None:
        sequence_number = self._probes.begin(member, self._clock.read())
        self._send(member.host, DatagramKind.PING, sequence_number=sequence_number)

    def _handle_timed_out_probes(self, now: float) -> None:
        for probe in self._probes.take_timed_out(now):
            member = probe.member
            if probe.is_indirect:
                self._membership.suspect(member, now)
                continue
            intermediaries = [
                intermediary
                for intermediary in self._membership.list_neighbours()
                if intermediary.host != member.host
                and intermediary.health is Health.ALIVE
            ]
            count = min(INDIRECT_PROBES, len(intermediaries))
            for intermediary in self._rng.sample(intermediaries, count):
                self._send(
                    intermediary.host,
                    DatagramKind.PING_REQUEST,
                    sequence_number=probe.sequence_number,
                    subject=member.host,
                )

    def _handle_ping_request(self, datagram: Datagram) -> None:
        if self._membership.find(datagram.subject) is None:
            return
        if len(self._indirect_pings) >= MAX_INDIRECT_PINGS:
            self._indirect_pings.clear()
        # The requester handles the timeout. Tracking this ping here would trigger
        # further ping requests without end.
        sequence_number = self._probes.next_sequence_number()
        self._indirect_pings[sequence_number] = _PingRequest(
            datagram.sender.host, datagram.sequence_number
        )
        self._send(datagram.subject, DatagramKind.PING, sequence_number=sequence_number)

    def _handle_ack(self, sequence_number: int) -> None:
        self._probes.acknowledge(sequence_number)
        ping_request = self._indirect_pings.pop(sequence_number, None)
        if ping_request is not None:
            self._send(
                ping_request.host,
                DatagramKind.ACK,
                sequence_number=ping_request.sequence_number,
            )

    def _reconnect(self) -> None:
        live = {member.host for member in self._membership.list_live()}
        hosts = {*self._list_seeds(), *self._membership.list_dead()}
        unreachable = sorted(hosts - live - {self._membership.local_member.host})
        for host in self._rng.sample(
            unreachable, min(len(unreachable), MAX_RECONNECT_HOSTS)
        ):
            self._send(host, DatagramKind.PING)

    def _send(
        self,
        host: str,
        kind: DatagramKind,
        *,
        sequence_number: int = 0,
        subject: str = "",
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        members = self._membership.select_members(
            host,
            receiver_known_count=self._known_counts.get(host, 0),
            now=self._clock.read(),
            rng=self._rng,
        )
        datagram = Datagram(
            kind=kind,
            sequence_number=sequence_number,
            subject=subject,
            sender=self._membership.local_member,
            known_count=self._membership.known_count,
            revision=self._replica.revision,
            digest=self._replica.digest,
            members=members,
        )
        data = encode_datagram(datagram, self._data_centres)
        self._transport.sendto(data, (host, self._port))

    def _log_changes(self, now: float) -> None:
        live_health = {
            member.host: member.health for member in self._membership.list_live()
        }
        if now - self._started_ms < MEMBER_LOG_DELAY_MS:
            return
        if not self._logged_health:
            self._log.write("fleet_joined", live=len(live_health) + 1)
        else:
            for host in live_health.keys() - self._logged_health.keys():
                self._log.write("instance_seen", peer=host, live=len(live_health) + 1)
            for host in self._logged_health.keys() - live_health.keys():
                self._log.write("instance_silent", peer=host, live=len(live_health) + 1)
        self._logged_health = live_health
