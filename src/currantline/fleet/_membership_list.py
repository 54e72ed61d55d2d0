"""SWIM membership list: failure states, reader election and gossip selection.

The list does no I/O. Changes are piggybacked on the datagrams that probe other
instances, so the load of an instance does not grow with the fleet.
"""

import random

import attrs

from currantline.fleet._member import Datagram, Health, Member, MemberStatus

__all__ = ["MembershipList"]

# Time for a suspect to refute the suspicion before it is declared dead: three probe
# intervals.
SUSPICION_TIMEOUT_MS = 750.0

# Time for which dead instances are kept and contacted; a partition or a restart may
# last this long.
DEAD_RETENTION_MS = 600_000.0

# Time for which dead instances are sent to others; all have received the state by
# then.
DEAD_GOSSIP_MS = 30_000.0

# Maximum number of members in a datagram, so that it fits into one Ethernet frame.
MAX_MEMBERS_PER_DATAGRAM = 29

# Random members in a datagram besides queued updates, so that instances that missed an
# update converge eventually.
RANDOM_MEMBERS_PER_DATAGRAM = 4

# An update is sent this many times for each doubling of the fleet size.
RETRANSMIT_MULTIPLIER = 3

# Readers per data centre while the platform does not answer one of its instances; it
# may not answer the next one either.
PARTIAL_OUTAGE_READERS = 3

# Time after the start during which an instance leaves reading to eligible neighbours,
# because it may not know all members yet.
READER_START_DELAY_MS = 500.0


@attrs.define
class _Entry:
    member: Member
    changed_ms: float


class MembershipList:
    """Members of the fleet, as known to one instance.

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
        self._transmissions_left: dict[str, int] = {}
        self._peak_size = 1
        self._live_cache: list[Member] | None = None

    @property
    def local_member(self) -> Member:
        """State of this instance."""
        return self._local

    @property
    def peak_size(self) -> int:
        """Highest number of simultaneously live instances, including this one."""
        return self._peak_size

    @property
    def known_count(self) -> int:
        """Number of other known instances, including dead ones."""
        return len(self._entries)

    def update_local_member(
        self, *, status: MemberStatus, can_reach_platform: bool
    ) -> bool:
        """Set the state of this instance and return whether it changed."""
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
        """Merge the member states in a datagram."""
        for member in (datagram.sender, *datagram.members):
            if member.host == self._local.host:
                self._refute(member)
            else:
                self._merge(member, now)
        self._peak_size = max(self._peak_size, len(self.list_live()) + 1)

    def suspect(self, member: Member, now: float) -> None:
        """Mark an instance as suspect unless a newer state is known."""
        self._merge(attrs.evolve(member, health=Health.SUSPECT), now)

    def expire(self, now: float) -> None:
        """Declare overdue suspects dead and remove members that died long ago."""
        for host, entry in list(self._entries.items()):
            age_ms = now - entry.changed_ms
            if entry.member.health is Health.SUSPECT and age_ms >= SUSPICION_TIMEOUT_MS:
                self._merge(attrs.evolve(entry.member, health=Health.DEAD), now)
            elif entry.member.is_dead and age_ms >= DEAD_RETENTION_MS:
                del self._entries[host]
                self._transmissions_left.pop(host, None)

    def find(self, host: str) -> Member | None:
        """Return the known state of another instance, or None."""
        entry = self._entries.get(host)
        return entry.member if entry else None

    def list_live(self) -> list[Member]:
        """Return the other instances that are not dead."""
        if self._live_cache is None:
            members = (entry.member for entry in self._entries.values())
            self._live_cache = [member for member in members if not member.is_dead]
        return self._live_cache

    def list_dead(self) -> list[str]:
        """Return the hosts of dead instances."""
        return [
            entry.member.host
            for entry in self._entries.values()
            if entry.member.is_dead
        ]

    def list_known(self) -> list[str]:
        """Return the hosts of all known instances, with this one and dead ones."""
        return [self._local.host, *self._entries]

    def is_alive(self, host: str) -> bool:
        """Return whether another instance is known and not suspect or dead."""
        entry = self._entries.get(host)
        return entry is not None and entry.member.health is Health.ALIVE

    def list_ready(self) -> list[Member]:
        """Return the other instances that accept callers."""
        return [
            member
            for member in self.list_live()
            if member.status is MemberStatus.READY and member.health is Health.ALIVE
        ]

    def list_neighbours(self) -> list[Member]:
        """Return the other live instances of this data centre."""
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

        The reader is the eligible instance with the lowest host. While the platform
        does not answer one of the instances, the first ``PARTIAL_OUTAGE_READERS``
        read, because the watches of others may hang as well. An instance that knows no
        eligible neighbour reads for itself.
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
        """Return whether this instance must detect unanswered watches quickly.

        One reader in the whole fleet is enough: changes that it reads reach all other
        instances. During a partial outage all instances of the data centre must.
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
        """Return the members to send in a datagram, and count the transmissions.

        Parameters
        ----------
        receiver : str
            Host of the receiver.
        receiver_known_count : int
            Number of instances that the receiver knows. While it knows fewer than this
            instance, the datagram is filled up with random members.
        now : float
            Current time in milliseconds.
        rng : random.Random
            Draws the random members.
        """
        hosts: dict[str, None] = {}
        receiver_entry = self._entries.get(receiver)
        if (
            receiver_entry is not None
            and receiver_entry.member.health is not Health.ALIVE
        ):
            hosts[receiver] = None
        for host in sorted(
            self._transmissions_left, key=lambda host: -self._transmissions_left[host]
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
            # An earlier start has a higher incarnation if the clock was set back since.
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
        self._transmissions_left[host] = RETRANSMIT_MULTIPLIER * doublings

    def _count_transmission(self, host: str) -> None:
        self._transmissions_left[host] -= 1
        if self._transmissions_left[host] <= 0:
            del self._transmissions_left[host]

    def _get_member(self, host: str) -> Member:
        return self._local if host == self._local.host else self._entries[host].member


def _is_eligible_reader(member: Member) -> bool:
    return (
        member.can_reach_platform
        and member.status is not MemberStatus.LEAVING
        and member.health is Health.ALIVE
    )
