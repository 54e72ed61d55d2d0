"""Pure membership in the manner of SWIM: who lives, who reads, and what is told.

Changes spread as rumours on the datagrams that probe other instances, so the work of
an instance does not grow with the fleet.
"""

import random

import attrs

from currantline.fleet._member import Datagram, Health, Member, MemberStatus

__all__ = ["MembershipList"]

# An instance that was reported not to answer has this long to contradict, in
# milliseconds: three rounds of probes.
SUSPICION_TIMEOUT_MS = 750.0

# Dead instances are contacted for this long, in milliseconds, because a partition or
# a restart may last this long.
DEAD_RETENTION_MS = 600_000.0

# Dead instances are told to others for this long, in milliseconds, in which all have
# heard of them.
DEAD_GOSSIP_MS = 30_000.0

# Rows of one datagram, so that it fits into one Ethernet frame.
MAX_MEMBERS_PER_DATAGRAM = 29

# Rows drawn at random that a datagram carries besides rumours, so that instances
# which missed a rumour agree in the end.
RANDOM_MEMBERS_PER_DATAGRAM = 4

# A rumour is told this many times for each doubling of the fleet.
RETRANSMIT_MULTIPLIER = 3

# Instances of a data centre that watch the platform while it refuses another one.
PARTIAL_OUTAGE_READERS = 3

# An instance that just came may not have heard of all others, so it leaves the
# reading of the platform to older ones for this long, in milliseconds.
READER_START_DELAY_MS = 500.0


@attrs.define
class _Entry:
    member: Member
    changed_ms: float


class MembershipList:
    """Instances as one of them knows them.

    Parameters
    ----------
    local_member : Member
        State of this instance at its start.
    now : float
        Current time in milliseconds.
    """

    def __init__(self, local_member: Member, *, now: float) -> None:
        self._local = local_member
        self._started_ms = now
        self._entries: dict[str, _Entry] = {}
        self._queued_updates: dict[str, int] = {}
        self._peak_size = 1
        self._live_cache: list[Member] | None = None

    @property
    def local_member(self) -> Member:
        """State of this instance."""
        return self._local

    @property
    def peak_size(self) -> int:
        """Most instances that were live at the same time, this one included."""
        return self._peak_size

    @property
    def known_count(self) -> int:
        """Other instances that were heard of."""
        return len(self._entries)

    def update_local_member(
        self, *, status: MemberStatus, can_reach_platform: bool
    ) -> bool:
        """Set what this instance tells of itself; return whether it changed."""
        if (status, can_reach_platform) == (
            self._local.status,
            self._local.can_reach_platform,
        ):
            return False
        self._local = attrs.evolve(
            self._local,
            version=self._local.version + 1,
            status=status,
            can_reach_platform=can_reach_platform,
        )
        self._queue_update(self._local.host)
        return True

    def receive(self, datagram: Datagram, now: float) -> None:
        """Merge what a datagram tells."""
        for member in (datagram.sender, *datagram.members):
            if member.host == self._local.host:
                self._refute(member)
            else:
                self._merge(member, now)
        self._peak_size = max(self._peak_size, len(self.list_live()) + 1)

    def suspect(self, member: Member, now: float) -> None:
        """Note that an instance does not answer, unless there is newer news."""
        self._merge(attrs.evolve(member, health=Health.SUSPECT), now)

    def expire(self, now: float) -> None:
        """Take suspects for dead that did not contradict; forget old dead ones."""
        for host, entry in list(self._entries.items()):
            age_ms = now - entry.changed_ms
            if entry.member.health is Health.SUSPECT and age_ms >= SUSPICION_TIMEOUT_MS:
                self._merge(attrs.evolve(entry.member, health=Health.DEAD), now)
            elif entry.member.is_dead and age_ms >= DEAD_RETENTION_MS:
                del self._entries[host]
                self._queued_updates.pop(host, None)

    def find(self, host: str) -> Member | None:
        """Return what is known of an instance, or None."""
        entry = self._entries.get(host)
        return entry.member if entry else None

    def list_live(self) -> list[Member]:
        """Return the other instances that are not taken for dead."""
        if self._live_cache is None:
            members = (entry.member for entry in self._entries.values())
            self._live_cache = [member for member in members if not member.is_dead]
        return self._live_cache

    def list_dead(self) -> list[str]:
        """Return the hosts of instances that are taken for dead."""
        return [s.member.host for s in self._entries.values() if s.member.is_dead]

    def list_ready(self) -> list[Member]:
        """Return the other instances that may get callers."""
        return [
            member
            for member in self.list_live()
            if member.status is MemberStatus.READY and member.health is Health.ALIVE
        ]

    def list_neighbours(self) -> list[Member]:
        """Return the live instances of the own data centre."""
        return [
            m
            for m in self.list_live()
            if m.data_centre == self.local_member.data_centre
        ]

    def list_remote(self, data_centre: str) -> list[Member]:
        """Return the live instances of another data centre."""
        return [m for m in self.list_live() if m.data_centre == data_centre]

    def is_reader(self, now: float) -> bool:
        """Return whether this instance watches the platform for its data centre.

        The live instance with the lowest address that the platform answers does. More
        of them do while the platform refuses an instance, because it may refuse
        others without a word. An instance that has no knowledge at all reads if it
        hears of no such instance.
        """
        if not _is_eligible_reader(self._local):
            return False
        neighbours = self.list_neighbours()
        others = [member.host for member in neighbours if _is_eligible_reader(member)]
        if others and now - self._started_ms < READER_START_DELAY_MS:
            return False
        preceding = sum(1 for host in others if host < self._local.host)
        return preceding < (PARTIAL_OUTAGE_READERS if self._is_partial_outage() else 1)

    def uses_short_watches(self) -> bool:
        """Return whether this instance must notice at once that a watch is silent.

        One reader of the whole fleet is enough: if the platform answers it, its
        changes reach all others.
        """
        hosts = [
            member.host for member in self.list_live() if _is_eligible_reader(member)
        ]
        is_first = all(self._local.host < host for host in hosts)
        return is_first or self._is_partial_outage()

    def _is_partial_outage(self) -> bool:
        return any(not member.can_reach_platform for member in self.list_neighbours())

    def select_members(
        self,
        receiver: str,
        *,
        receiver_known_count: int,
        now: float,
        rng: random.Random,
    ) -> tuple[Member, ...]:
        """Return what a datagram to an instance should tell.

        Parameters
        ----------
        receiver : str
            Host of the receiver.
        receiver_known_count : int
            Instances that it knows; it gets a full datagram while it knows fewer.
        now : float
            Current time in milliseconds.
        rng : random.Random
            Draws the rows besides rumours.
        """
        hosts: dict[str, None] = {}
        receiver_entry = self._entries.get(receiver)
        if (
            receiver_entry is not None
            and receiver_entry.member.health is not Health.ALIVE
        ):
            hosts[receiver] = None
        for host in sorted(
            self._queued_updates, key=lambda host: -self._queued_updates[host]
        ):
            if len(hosts) >= MAX_MEMBERS_PER_DATAGRAM:
                break
            hosts[host] = None
            self._count_transmission(host)
        is_receiver_behind = receiver_known_count < len(self._entries)
        sample_size = (
            MAX_MEMBERS_PER_DATAGRAM
            if is_receiver_behind
            else RANDOM_MEMBERS_PER_DATAGRAM
        )
        for host in rng.sample(
            list(self._entries), min(len(self._entries), sample_size)
        ):
            entry = self._entries[host]
            is_disseminated = (
                not entry.member.is_dead or now - entry.changed_ms < DEAD_GOSSIP_MS
            )
            if len(hosts) < MAX_MEMBERS_PER_DATAGRAM and is_disseminated:
                hosts[host] = None
        return tuple(self._get_member(host) for host in hosts)

    def _merge(self, member: Member, now: float) -> None:
        entry = self._entries.get(member.host)
        if not member.replaces(entry.member if entry else None):
            return
        self._entries[member.host] = _Entry(member, now)
        self._live_cache = None
        self._queue_update(member.host)

    def _refute(self, claimed: Member) -> None:
        local_member = self._local
        if claimed.incarnation > local_member.incarnation:
            # After a step of the clock an earlier start may bear a higher number.
            self._local = attrs.evolve(
                local_member, incarnation=claimed.incarnation + 1
            )
        elif claimed.replaces(local_member):
            self._local = attrs.evolve(local_member, version=claimed.version + 1)
        else:
            return
        self._queue_update(local_member.host)

    def _queue_update(self, host: str) -> None:
        doublings = (len(self._entries) + 1).bit_length()
        self._queued_updates[host] = RETRANSMIT_MULTIPLIER * doublings

    def _count_transmission(self, host: str) -> None:
        self._queued_updates[host] -= 1
        if self._queued_updates[host] <= 0:
            del self._queued_updates[host]

    def _get_member(self, host: str) -> Member:
        return self._local if host == self._local.host else self._entries[host].member


def _is_eligible_reader(member: Member) -> bool:
    return (
        member.can_reach_platform
        and member.status is not MemberStatus.LEAVING
        and member.health is Health.ALIVE
    )
