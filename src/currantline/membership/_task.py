"""Task that owns the gossip table and exchanges gossip with peers."""

import asyncio
import random
from collections.abc import Iterable
from typing import Protocol

import attrs
from eliot import log_message

from currantline.clock import Clock
from currantline.exceptions import PeerError, WireError
from currantline.membership._contact import Contact
from currantline.membership._entry import InstanceEntry, View
from currantline.membership._gossip import Gossip
from currantline.membership._lease import ViewLease, combine_digest
from currantline.membership._options import MembershipOptions
from currantline.membership._published import ListHistory, PublishedList
from currantline.membership._readiness import Decision, Readiness
from currantline.membership._table import GossipTable

__all__ = ["GossipTransport", "MembershipTask", "ViewChanged"]

# A request without keys, one with keys and one with the rows unknown to the peer.
MAX_ROUNDS = 3


class GossipTransport(Protocol):
    """Transport of gossip requests to peers."""

    async def exchange(self, address: str, request: Gossip) -> Gossip:
        """Send a request and return the response.

        Raises
        ------
        PeerError
            If no response was received.
        WireError
            If the response cannot be used.
        """
        ...


@attrs.frozen(kw_only=True)
class ViewChanged:
    """Change of the view or of readiness, sent to subscribers.

    Parameters
    ----------
    view : View
        Live instances.
    decision : Decision
        Whether the local instance is ready.
    was_paused : bool
        Whether the process was paused, so that leases, loans and evidence held before
        the pause must be discarded.
    """

    view: View
    decision: Decision
    was_paused: bool = False


class MembershipTask:
    """Owns the gossip table, lease and readiness of one instance.

    Parameters
    ----------
    entry : InstanceEntry
        Entry of the local instance.
    transport : GossipTransport
        Transport to peers.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness for the choice of peers.
    seeds : iterable of Contact
        Instances to contact before any other is known.
    options : MembershipOptions, optional
        Intervals, timeouts and ratios.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        *,
        transport: GossipTransport,
        clock: Clock,
        rng: random.Random,
        seeds: Iterable[Contact] = (),
        options: MembershipOptions | None = None,
    ) -> None:
        now = clock.read()
        self._options = options or MembershipOptions()
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self.table = GossipTable(entry, options=self._options, seeds=seeds)
        self.lease = ViewLease(entry.name, started_at=now, options=self._options)
        self.readiness = Readiness(entry.name, started_at=now, options=self._options)
        self._list_history = ListHistory(self._options)
        self._last_tick = now
        self._last_published: tuple[object, ...] | None = None
        self._subscribers: list[asyncio.Queue[ViewChanged]] = []
        self._reset_at = now

    def subscribe(self) -> "asyncio.Queue[ViewChanged]":
        """Return a queue that receives the current view and each change."""
        queue: asyncio.Queue[ViewChanged] = asyncio.Queue()
        now = self._clock.read()
        queue.put_nowait(
            ViewChanged(view=self.table.view(now), decision=self.readiness.decide(now))
        )
        self._subscribers.append(queue)
        return queue

    def handle_list(self, published: PublishedList, now: float) -> None:
        """Apply a newly read published list."""
        self._list_history.update(published, now)
        live = [entry for entry in published.instances if not entry.is_leaving]
        leaving = [entry.name for entry in published.instances if entry.is_leaving]
        self.table.set_published(
            [Contact(name=e.name, peer_address=e.peer_address) for e in live], leaving
        )
        self.readiness.record_listed(entry.name for entry in live)
        self._publish(now)

    def handle_configuration(self, sequence: int, version: int, digest: int) -> None:
        """Apply the configuration in force.

        Raises
        ------
        InvariantError
            If the sequence or version would decrease.
        """
        self.table.update_local(
            sequence=sequence, version=version, configuration_digest=digest
        )
        self.readiness.record_local(sequence, version)
        self._publish(self._clock.read())

    def leave(self) -> None:
        """Announce in the next exchanges that this instance is leaving."""
        self.readiness.leave()
        self._publish(self._clock.read())

    def holds_lease(self) -> bool:
        """Return whether the instance holds the majority lease now."""
        now = self._clock.read()
        if self._detect_pause(now):
            self._publish(now, was_paused=True)
        self._refresh(now)
        known = self._list_history.list_known(now) | set(self.table.view(now).names)
        return self.lease.holds(known, self._list_history.list_voters(now), now)

    async def run(self) -> None:
        """Gossip until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                # Exchanges run concurrently, so that an unresponsive peer does not
                # delay the local heartbeat.
                group.create_task(self.step())
                await asyncio.sleep(self._options.gossip_interval_ms / 1000)

    async def step(self) -> None:
        """Increment the local heartbeat and exchange gossip with one peer."""
        now = self._clock.read()
        was_paused = self._detect_pause(now)
        self.table.tick(now)
        self._publish(now, was_paused=was_paused)
        peer = self.table.choose_peer(now, self._rng)
        if peer is not None:
            await self._exchange(peer)

    def handle_request(self, request: Gossip) -> Gossip:
        """Return the response to the request of a peer.

        Parameters
        ----------
        request : Gossip
            Request received from the peer.
        """
        # Proofs are valid only if the clock is read after the request was received.
        now = self._clock.read()
        if self._detect_pause(now):
            self._publish(now, was_paused=True)
        restored = self.table.restore_keys(request, now)
        if restored is None:
            return Gossip(sender=self.table.local.name, needs_keys=True)
        response = self.table.build_response(restored, now)
        self._publish(now)
        names = self._find_row_names(restored)
        return attrs.evolve(
            response,
            lease_digest=self.lease.digest,
            proofs=self.lease.build_proofs(names, now),
        )

    async def _exchange(self, peer: Contact) -> None:
        request: Gossip | None = self.table.build_request(self._clock.read())
        for _ in range(MAX_ROUNDS):
            if request is None:
                return
            try:
                request = await self._send_request(peer, request)
            except (PeerError, WireError) as error:
                log_message("currantline:gossip", peer=peer.name, error=str(error))
                return

    async def _send_request(self, peer: Contact, request: Gossip) -> Gossip | None:
        sent_at = self._clock.read()
        names = self._find_row_names(request)
        response = await self._transport.exchange(peer.peer_address, request)
        now = self._clock.read()
        if self._detect_pause(now):
            self._publish(now, was_paused=True)
        if sent_at < self._reset_at:
            # The response may have been delayed by the pause.
            return None
        follow_up = self.table.handle_response(request, response, sent_at, now)
        if not response.needs_keys:
            self.lease.merge_proofs(response, names, sent_at=sent_at)
            self._record_response(response, now)
            self._publish(now)
        return follow_up

    def _find_row_names(self, request: Gossip) -> list[str | None]:
        names = self.table.names_by_key()
        return [names.get(row.key) for row in request.rows]

    def _record_response(self, response: Gossip, now: float) -> None:
        for other in self.table.view(now).instances:
            self.readiness.record_reported(other.sequence, other.version)
        entry = self.table.find(response.sender)
        if entry is not None:
            self.readiness.record_response(
                entry.name,
                entry.status,
                sequence=entry.sequence,
                version=entry.version,
            )

    def _detect_pause(self, now: float) -> bool:
        elapsed = now - self._last_tick
        self._last_tick = now
        limit = self._options.gossip_interval_ms + self._options.pause_ms
        if elapsed <= limit:
            return False
        log_message("currantline:pause", elapsed_ms=elapsed)
        self.table.reset(now)
        self.lease.reset(now)
        self.readiness.reset(now)
        self._reset_at = now
        return True

    def _refresh(self, now: float) -> View:
        self.readiness.record_replaced(self.table.is_replaced(now))
        self.table.update_local(status=self.readiness.status(now))
        view = self.table.view(now)
        is_member = view.find(self.table.local.name) is not None
        # A leaving or replaced instance neither holds nor acknowledges a lease.
        digest = combine_digest(view, self.table.local.version) if is_member else 0
        self.lease.set_digest(digest)
        self.table.update_local(view_digest=self.lease.acknowledge(now))
        return view

    def _publish(self, now: float, *, was_paused: bool = False) -> None:
        view = self._refresh(now)
        decision = self.readiness.decide(now)
        members = [(e.name, e.incarnation, e.status) for e in view.instances]
        published_state = (members, decision)
        if published_state == self._last_published and not was_paused:
            return
        self._last_published = published_state
        change = ViewChanged(view=view, decision=decision, was_paused=was_paused)
        for queue in self._subscribers:
            queue.put_nowait(change)
