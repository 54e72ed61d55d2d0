"""Task that owns the gossip table and speaks with other instances."""

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
from currantline.membership._published import ListMemory, PublishedList
from currantline.membership._readiness import Decision, Readiness
from currantline.membership._table import GossipTable

__all__ = ["Exchange", "MembershipTask", "ViewChanged"]

# A question without keys, one with keys and one that introduces what was unknown.
MAX_ROUNDS = 3


class Exchange(Protocol):
    """Way to another instance."""

    async def exchange(self, address: str, question: Gossip) -> Gossip:
        """Send a question and return the answer.

        Raises
        ------
        PeerError
            If no answer came.
        WireError
            If the answer cannot be used.
        """
        ...


@attrs.frozen(kw_only=True)
class ViewChanged:
    """Message to subscribers.

    Parameters
    ----------
    view : View
        Live instances.
    decision : Decision
        Whether the instance itself is ready.
    was_paused : bool
        Whether the process was paused, so that leases, loans and evidence held before
        must be dropped.
    """

    view: View
    decision: Decision
    was_paused: bool = False


class MembershipTask:
    """Owns the gossip table, the lease and readiness of one instance.

    Parameters
    ----------
    entry : InstanceEntry
        The instance itself.
    peers : Exchange
        Way to other instances.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of the choice of partners.
    seeds : iterable of Contact
        Instances to contact before any other is known.
    options : MembershipOptions, optional
        Times and counts.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        *,
        peers: Exchange,
        clock: Clock,
        rng: random.Random,
        seeds: Iterable[Contact] = (),
        options: MembershipOptions | None = None,
    ) -> None:
        now = clock.read()
        self._options = options or MembershipOptions()
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self.table = GossipTable(entry, options=self._options, seeds=seeds)
        self.lease = ViewLease(entry.name, started_at=now, options=self._options)
        self.readiness = Readiness(entry.name, started_at=now, options=self._options)
        self._listed = ListMemory(self._options)
        self._last_tick = now
        self._told: tuple[object, ...] | None = None
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

    def take_list(self, published: PublishedList, now: float) -> None:
        """Take over a reading of the published list."""
        self._listed.update(published, now)
        live = [entry for entry in published.instances if not entry.is_leaving]
        leaving = [entry.name for entry in published.instances if entry.is_leaving]
        self.table.set_published(
            [Contact(name=e.name, peer_address=e.peer_address) for e in live], leaving
        )
        self.readiness.note_listed(entry.name for entry in live)
        self._publish(now)

    def take_configuration(self, sequence: int, version: int, digest: int) -> None:
        """Take over the configuration in force.

        Raises
        ------
        InvariantError
            If the sequence or version would fall.
        """
        self.table.describe(
            sequence=sequence, version=version, configuration_digest=digest
        )
        self.readiness.note_own(sequence, version)
        self._publish(self._clock.read())

    def leave(self) -> None:
        """Tell other instances with the next exchanges that this one leaves."""
        self.readiness.leave()
        self._publish(self._clock.read())

    def holds_lease(self) -> bool:
        """Return whether the instance holds the majority lease now."""
        now = self._clock.read()
        if self._detect_pause(now):
            self._publish(now, was_paused=True)
        self._refresh(now)
        known = self._listed.list_known(now) | set(self.table.view(now).names)
        return self.lease.holds(known, self._listed.list_voters(now), now)

    async def run(self) -> None:
        """Gossip until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                # Exchanges run aside: a silent peer must not stop the own counter.
                group.create_task(self.step())
                await asyncio.sleep(self._options.gossip_interval_ms / 1000)

    async def step(self) -> None:
        """Move the own counter and exchange gossip with one peer."""
        now = self._clock.read()
        was_paused = self._detect_pause(now)
        self.table.tick(now)
        self._publish(now, was_paused=was_paused)
        partner = self.table.choose_partner(now, self._rng)
        if partner is not None:
            await self._exchange(partner)

    def answer(self, question: Gossip) -> Gossip:
        """Answer the question of a peer.

        Parameters
        ----------
        question : Gossip
            What the peer sent.
        """
        # The clock is read after the question arrived: proofs count on it.
        now = self._clock.read()
        if self._detect_pause(now):
            self._publish(now, was_paused=True)
        resolved = self.table.resolve(question, now)
        if resolved is None:
            return Gossip(sender=self.table.own.name, needs_keys=True)
        answer = self.table.answer(resolved, now)
        self._publish(now)
        names = self._name_rows(resolved)
        return attrs.evolve(
            answer,
            lease_digest=self.lease.digest,
            proofs=self.lease.prove(names, now),
        )

    async def _exchange(self, partner: Contact) -> None:
        question: Gossip | None = self.table.digest(self._clock.read())
        for _ in range(MAX_ROUNDS):
            if question is None:
                return
            try:
                question = await self._ask(partner, question)
            except (PeerError, WireError) as error:
                log_message("currantline:gossip", peer=partner.name, error=str(error))
                return

    async def _ask(self, partner: Contact, question: Gossip) -> Gossip | None:
        sent_at = self._clock.read()
        names = self._name_rows(question)
        answer = await self._peers.exchange(partner.peer_address, question)
        now = self._clock.read()
        if self._detect_pause(now):
            self._publish(now, was_paused=True)
        if sent_at < self._reset_at:
            # The answer may have waited through the pause.
            return None
        follow_up = self.table.accept(question, answer, sent_at, now)
        if not answer.needs_keys:
            self.lease.collect(answer, names, sent_at=sent_at)
            self._note_answer(answer, now)
            self._publish(now)
        return follow_up

    def _name_rows(self, question: Gossip) -> list[str | None]:
        names = self.table.names_by_key()
        return [names.get(row.key) for row in question.rows]

    def _note_answer(self, answer: Gossip, now: float) -> None:
        for other in self.table.view(now).instances:
            self.readiness.note_told(other.sequence, other.version)
        entry = self.table.find(answer.sender)
        if entry is not None:
            self.readiness.note_answer(
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
        self.readiness.note_replaced(self.table.is_replaced(now))
        self.table.describe(status=self.readiness.status(now))
        view = self.table.view(now)
        is_member = view.find(self.table.own.name) is not None
        # An instance that is leaving or replaced neither holds nor acknowledges.
        digest = combine_digest(view, self.table.own.version) if is_member else 0
        self.lease.set_digest(digest)
        self.table.describe(view_digest=self.lease.acknowledge(now))
        return view

    def _publish(self, now: float, *, was_paused: bool = False) -> None:
        view = self._refresh(now)
        decision = self.readiness.decide(now)
        members = [(e.name, e.incarnation, e.status) for e in view.instances]
        told = (members, decision)
        if told == self._told and not was_paused:
            return
        self._told = told
        change = ViewChanged(view=view, decision=decision, was_paused=was_paused)
        for queue in self._subscribers:
            queue.put_nowait(change)
