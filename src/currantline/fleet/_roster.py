"""Pure membership in the manner of SWIM: who lives, who reads, and what is told.

Changes spread as rumours on the datagrams that probe other instances, so the work of
an instance does not grow with the fleet.
"""

import random

import attrs

from currantline.fleet._member import Datagram, Health, Member, MemberStatus

__all__ = ["Roster"]

# An instance that was reported not to answer has this long to contradict, in
# milliseconds: three rounds of probes.
SUSPECT_MS = 750.0

# Dead instances are contacted for this long, in milliseconds, because a partition or
# a restart may last this long.
FORGET_MS = 600_000.0

# Dead instances are told to others for this long, in milliseconds, in which all have
# heard of them.
TELL_DEAD_MS = 30_000.0

# Rows of one datagram, so that it fits into one Ethernet frame.
MAX_ROWS = 29

# Rows drawn at random that a datagram carries besides rumours, so that instances
# which missed a rumour agree in the end.
RANDOM_ROWS = 4

# A rumour is told this many times for each doubling of the fleet.
RUMOUR_REPEATS = 3

# Instances of a data centre that watch the platform while it refuses another one.
READERS_IN_DOUBT = 3

# An instance that just came may not have heard of all others, so it leaves the
# reading of the platform to older ones for this long, in milliseconds.
SETTLE_MS = 500.0


@attrs.define
class _Seen:
    member: Member
    changed_ms: float


class Roster:
    """Instances as one of them knows them.

    Parameters
    ----------
    own : Member
        State of this instance at its start.
    now : float
        Current time in milliseconds.
    """

    def __init__(self, own: Member, *, now: float) -> None:
        self._own = own
        self._started_ms = now
        self._seen: dict[str, _Seen] = {}
        self._rumours: dict[str, int] = {}
        self._largest = 1
        self._live: list[Member] | None = None

    @property
    def own(self) -> Member:
        """State of this instance."""
        return self._own

    @property
    def size(self) -> int:
        """Most instances that were live at the same time, this one included."""
        return self._largest

    @property
    def known(self) -> int:
        """Other instances that were heard of."""
        return len(self._seen)

    def update_own(self, *, status: MemberStatus, can_read: bool) -> bool:
        """Set what this instance tells of itself; return whether it changed."""
        if (status, can_read) == (self._own.status, self._own.can_read):
            return False
        self._own = attrs.evolve(
            self._own,
            version=self._own.version + 1,
            status=status,
            can_read=can_read,
        )
        self._start_rumour(self._own.host)
        return True

    def receive(self, datagram: Datagram, now: float) -> None:
        """Merge what a datagram tells."""
        for member in (datagram.sender, *datagram.members):
            if member.host == self._own.host:
                self._contradict(member)
            else:
                self._merge(member, now)
        self._largest = max(self._largest, len(self.list_live()) + 1)

    def suspect(self, member: Member, now: float) -> None:
        """Note that an instance does not answer, unless there is newer news."""
        self._merge(attrs.evolve(member, health=Health.SUSPECT), now)

    def expire(self, now: float) -> None:
        """Take suspects for dead that did not contradict; forget old dead ones."""
        for host, seen in list(self._seen.items()):
            age_ms = now - seen.changed_ms
            if seen.member.health is Health.SUSPECT and age_ms >= SUSPECT_MS:
                self._merge(attrs.evolve(seen.member, health=Health.DEAD), now)
            elif seen.member.is_dead and age_ms >= FORGET_MS:
                del self._seen[host]
                self._rumours.pop(host, None)

    def find(self, host: str) -> Member | None:
        """Return what is known of an instance, or None."""
        seen = self._seen.get(host)
        return seen.member if seen else None

    def list_live(self) -> list[Member]:
        """Return the other instances that are not taken for dead."""
        if self._live is None:
            members = (seen.member for seen in self._seen.values())
            self._live = [member for member in members if not member.is_dead]
        return self._live

    def list_dead(self) -> list[str]:
        """Return the hosts of instances that are taken for dead."""
        return [s.member.host for s in self._seen.values() if s.member.is_dead]

    def list_ready(self) -> list[Member]:
        """Return the other instances that may get callers."""
        return [
            member
            for member in self.list_live()
            if member.status is MemberStatus.READY and member.health is Health.ALIVE
        ]

    def list_neighbours(self) -> list[Member]:
        """Return the live instances of the own data centre."""
        return [m for m in self.list_live() if m.data_centre == self.own.data_centre]

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
        if not _may_read(self._own):
            return False
        neighbours = self.list_neighbours()
        others = [member.host for member in neighbours if _may_read(member)]
        if others and now - self._started_ms < SETTLE_MS:
            return False
        before = sum(1 for host in others if host < self._own.host)
        return before < (READERS_IN_DOUBT if self._is_in_doubt() else 1)

    def is_lookout(self) -> bool:
        """Return whether this instance must notice at once that a watch is silent.

        One reader of the whole fleet is enough: if the platform answers it, its
        changes reach all others.
        """
        hosts = [member.host for member in self.list_live() if _may_read(member)]
        is_first = all(self._own.host < host for host in hosts)
        return is_first or self._is_in_doubt()

    def _is_in_doubt(self) -> bool:
        return any(not member.can_read for member in self.list_neighbours())

    def select_rows(
        self, receiver: str, *, receiver_knows: int, now: float, rng: random.Random
    ) -> tuple[Member, ...]:
        """Return what a datagram to an instance should tell.

        Parameters
        ----------
        receiver : str
            Host of the receiver.
        receiver_knows : int
            Instances that it knows; it gets a full datagram while it knows fewer.
        now : float
            Current time in milliseconds.
        rng : random.Random
            Draws the rows besides rumours.
        """
        hosts: dict[str, None] = {}
        about = self._seen.get(receiver)
        if about is not None and about.member.health is not Health.ALIVE:
            hosts[receiver] = None
        for host in sorted(self._rumours, key=lambda host: -self._rumours[host]):
            if len(hosts) >= MAX_ROWS:
                break
            hosts[host] = None
            self._note_told(host)
        is_behind = receiver_knows < len(self._seen)
        wanted = MAX_ROWS if is_behind else RANDOM_ROWS
        for host in rng.sample(list(self._seen), min(len(self._seen), wanted)):
            seen = self._seen[host]
            is_told = not seen.member.is_dead or now - seen.changed_ms < TELL_DEAD_MS
            if len(hosts) < MAX_ROWS and is_told:
                hosts[host] = None
        return tuple(self._find_row(host) for host in hosts)

    def _merge(self, member: Member, now: float) -> None:
        seen = self._seen.get(member.host)
        if not member.replaces(seen.member if seen else None):
            return
        self._seen[member.host] = _Seen(member, now)
        self._live = None
        self._start_rumour(member.host)

    def _contradict(self, claimed: Member) -> None:
        own = self._own
        if claimed.incarnation > own.incarnation:
            # After a step of the clock an earlier start may bear a higher number.
            self._own = attrs.evolve(own, incarnation=claimed.incarnation + 1)
        elif claimed.replaces(own):
            self._own = attrs.evolve(own, version=claimed.version + 1)
        else:
            return
        self._start_rumour(own.host)

    def _start_rumour(self, host: str) -> None:
        doublings = (len(self._seen) + 1).bit_length()
        self._rumours[host] = RUMOUR_REPEATS * doublings

    def _note_told(self, host: str) -> None:
        self._rumours[host] -= 1
        if self._rumours[host] <= 0:
            del self._rumours[host]

    def _find_row(self, host: str) -> Member:
        return self._own if host == self._own.host else self._seen[host].member


def _may_read(member: Member) -> bool:
    return (
        member.can_read
        and member.status is not MemberStatus.LEAVING
        and member.health is Health.ALIVE
    )
