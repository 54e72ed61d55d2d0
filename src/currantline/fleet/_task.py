"""Heartbeats over UDP, and pulls of changes from other instances."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any, cast

import attrs

from currantline.clock import Clock
from currantline.exceptions import PeerError, WireError
from currantline.fleet._codec import decode_heartbeat, encode_heartbeat
from currantline.fleet._member import Member
from currantline.fleet._roster import Roster
from currantline.replica import Changes
from currantline.telemetry import EventLog

__all__ = ["FleetTask"]

# Time between two rounds of heartbeats in milliseconds. Five missed rounds make an
# instance silent.
ROUND_MS = 250.0

# Instances of the own data centre that get a heartbeat in each round.
FANOUT = 2

# Rounds between two heartbeats of an instance that does not read the platform to
# another data centre; the readers send one in each round.
REMOTE_ROUNDS = 8

# Rounds between two attempts to reach seeds and silent instances once others are
# known. Partitions heal no faster than this.
SEED_ROUNDS = 8

# A change seen in another data centre is pulled from there only after this time in
# milliseconds, in which the own reader usually brings it.
REMOTE_PULL_MS = 250.0

# Pause after a failed pull, in milliseconds.
PULL_RETRY_MS = 100.0

Pull = Callable[[str, int], Awaitable[Changes]]


@attrs.define
class _Source:
    incarnation: int
    position: int


class FleetTask(asyncio.DatagramProtocol):
    """Owns the datagram socket and keeps the roster and the replica current.

    Parameters
    ----------
    roster : Roster
        The instances.
    port : int
        UDP port of all instances.
    data_centres : sequence of str
        Names of all data centres, the same on all instances.
    list_seeds : callable
        Returns the hosts to contact while no others are known.
    refresh : callable
        Brings the own row of the roster up to date.
    pull : callable
        Coroutine function that asks a host for its changes after a position.
    take : callable
        Takes over pulled changes.
    clock : Clock
        Source of time.
    rng : random.Random
        Chooses receivers.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        roster: Roster,
        *,
        port: int,
        data_centres: Sequence[str],
        list_seeds: Callable[[], Iterable[str]],
        refresh: Callable[[], None],
        pull: Pull,
        take: Callable[[Changes], None],
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self._roster = roster
        self._port = port
        self._data_centres = data_centres
        self._list_seeds = list_seeds
        self._refresh = refresh
        self._pull = pull
        self._take = take
        self._clock = clock
        self._rng = rng
        self._log = log
        self._round = 0
        self._sources: dict[str, _Source] = {}
        self._remote_since: float | None = None
        self._wake = asyncio.Event()
        self._known: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket.

        Raises
        ------
        OSError
            If the port cannot be used.
        """
        loop = asyncio.get_running_loop()
        address = (self._roster.own.host, self._port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the open socket."""
        # The loop's transport is not derived from the abstract class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Merge a heartbeat."""
        try:
            heartbeat = decode_heartbeat(data, self._data_centres)
        except PeerError as error:
            self._log.write("heartbeat_refused", peer=addr[0], reason=str(error))
            return
        self._roster.receive(heartbeat, self._clock.read())
        if self._roster.list_ahead(self._clock.read()):
            self._wake.set()

    def error_received(self, exc: Exception) -> None:
        """Ignore a host that refuses datagrams; its silence is noticed."""

    async def beat(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._refresh()
            self._send_round()
            self._note_changes()
            await asyncio.sleep(ROUND_MS / 1000)

    def announce(self) -> None:
        """Tell the neighbours, and one instance of each other data centre, at once."""
        self._refresh()
        now = self._clock.read()
        for member in self._roster.list_neighbours(now):
            self._send(member.host, member.data_centre, now)
        for data_centre in self._data_centres:
            if data_centre != self._roster.own.data_centre:
                self._send_remote(data_centre, now)

    async def follow(self) -> None:
        """Pull changes from instances that have more, until cancelled."""
        while True:
            self._wake.clear()
            source = self._choose_source(self._clock.read())
            if source is None:
                await self._wait()
                continue
            if not await self._pull_from(source):
                await asyncio.sleep(PULL_RETRY_MS / 1000)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def _wait(self) -> None:
        # Changes of other data centres become due without another message.
        try:
            async with asyncio.timeout(PULL_RETRY_MS / 1000):
                await self._wake.wait()
        except TimeoutError:
            if self._remote_since is None:
                await self._wake.wait()

    async def _pull_from(self, source: Member) -> bool:
        known = self._sources.get(source.host)
        is_same = known is not None and known.incarnation == source.incarnation
        after = known.position if known is not None and is_same else 0
        try:
            changes = await self._pull(source.host, after)
        except (WireError, PeerError) as error:
            self._log.write("pull_failed", peer=source.host, reason=str(error))
            return False
        self._sources[source.host] = _Source(source.incarnation, changes.position)
        self._take(changes)
        self._refresh()
        return True

    def _choose_source(self, now: float) -> Member | None:
        ahead = self._roster.list_ahead(now)
        near = [m for m in ahead if m.data_centre == self._roster.own.data_centre]
        if near or not ahead:
            self._remote_since = None
            return self._rng.choice(near) if near else None
        if self._remote_since is None:
            self._remote_since = now
        is_due = now - self._remote_since >= REMOTE_PULL_MS
        return (
            self._rng.choice(ahead) if is_due or not self._roster.own.revision else None
        )

    def _send_round(self) -> None:
        now = self._clock.read()
        self._round += 1
        near = self._roster.list_neighbours(now)
        for member in self._rng.sample(near, min(FANOUT, len(near))):
            self._send(member.host, member.data_centre, now)
        if self._roster.is_reader(now) or self._round % REMOTE_ROUNDS == 0:
            others = [
                d for d in self._data_centres if d != self._roster.own.data_centre
            ]
            if others:
                self._send_remote(self._rng.choice(others), now)
        if not self._roster.list_live(now) or self._round % SEED_ROUNDS == 0:
            self._send_seeds(now)

    def _send_remote(self, data_centre: str, now: float) -> None:
        members = self._roster.list_live(now)
        there = [member for member in members if member.data_centre == data_centre]
        if there:
            self._send(self._rng.choice(there).host, data_centre, now)

    def _send_seeds(self, now: float) -> None:
        live = {member.host for member in self._roster.list_live(now)}
        hosts = {*self._list_seeds(), *self._roster.list_silent(now)}
        unknown = sorted(hosts - live - {self._roster.own.host})
        for host in self._rng.sample(unknown, min(len(unknown), 3)):
            self._send(host, self._roster.own.data_centre, now)

    def _send(self, host: str, data_centre: str, now: float) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        heartbeat = self._roster.build_heartbeat(data_centre, now, self._rng)
        data = encode_heartbeat(heartbeat, self._data_centres)
        self._transport.sendto(data, (host, self._port))

    def _note_changes(self) -> None:
        live = {member.host for member in self._roster.list_live(self._clock.read())}
        for host in live - self._known:
            self._log.write("instance_seen", peer=host, live=len(live) + 1)
        for host in self._known - live:
            self._log.write("instance_silent", peer=host, live=len(live) + 1)
        self._known = live
