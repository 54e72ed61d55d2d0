"""Pure membership: merges heartbeats and decides who lives and who reads."""

import random

import attrs

from currantline.fleet._member import Heartbeat, Member, MemberStatus

__all__ = ["Roster"]

# An instance whose heartbeat has not moved for this long gets no callers, in
# milliseconds: five rounds of heartbeats.
SILENT_MS = 1_300.0

# The same for instances of other data centres, whose heartbeats pass through two
# more hops.
REMOTE_SILENT_MS = 3_000.0

# Silent instances are contacted for this long, in milliseconds, because a
# partition or a restart may last this long.
FORGET_MS = 600_000.0

# Rows of one heartbeat, so that it fits into one Ethernet frame.
MAX_ROWS = 20

# An instance that just came may not have heard of all others, so it leaves the
# reading of the platform to older ones for this long, in milliseconds.
SETTLE_MS = 500.0


@attrs.define
class _Seen:
    member: Member
    moved_ms: float


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
        self._largest = 1

    @property
    def own(self) -> Member:
        """State of this instance."""
        return self._own

    @property
    def size(self) -> int:
        """Most instances that were live at the same time, this one included."""
        return self._largest

    def update_own(
        self,
        *,
        status: MemberStatus,
        can_read: bool,
        revision: int,
        digest: int,
    ) -> None:
        """Set what this instance tells of itself, and move its heartbeat."""
        self._own = attrs.evolve(
            self._own,
            beat=self._own.beat + 1,
            status=status,
            can_read=can_read,
            revision=revision,
            digest=digest,
        )

    def receive(self, heartbeat: Heartbeat, now: float) -> None:
        """Merge a heartbeat of another instance."""
        for member in (heartbeat.sender, *heartbeat.others):
            if member.host == self._own.host:
                self._outlive(member)
                continue
            seen = self._seen.get(member.host)
            if member.replaces(seen.member if seen else None):
                self._seen[member.host] = _Seen(member, now)
        self._largest = max(self._largest, len(self.list_live(now)) + 1)

    def expire(self, now: float) -> None:
        """Forget instances that were silent for long."""
        for host, seen in list(self._seen.items()):
            if now - seen.moved_ms > FORGET_MS:
                del self._seen[host]

    def list_live(self, now: float) -> list[Member]:
        """Return the other instances that live."""
        return [s.member for s in self._seen.values() if self._is_live(s, now)]

    def list_silent(self, now: float) -> list[str]:
        """Return the hosts of instances that have gone silent."""
        seen = self._seen.values()
        return [s.member.host for s in seen if not self._is_live(s, now)]

    def list_ready(self, now: float) -> list[Member]:
        """Return the other instances that may get callers."""
        live = self.list_live(now)
        return [member for member in live if member.status is MemberStatus.READY]

    def list_neighbours(self, now: float) -> list[Member]:
        """Return the live instances of the own data centre."""
        return [m for m in self.list_live(now) if m.data_centre == self.own.data_centre]

    def is_reader(self, now: float) -> bool:
        """Return whether this instance watches the platform for its data centre.

        The live instance with the lowest address that the platform answers does. An
        instance that has no knowledge at all reads if it hears of no such instance.
        """
        if not self._own.can_read or self._own.status is MemberStatus.LEAVING:
            return False
        others = [
            member.host
            for member in self.list_neighbours(now)
            if member.can_read and member.status is not MemberStatus.LEAVING
        ]
        if others and now - self._started_ms < SETTLE_MS:
            return False
        return all(self._own.host < host for host in others)

    def build_heartbeat(
        self, receiver_data_centre: str, now: float, rng: random.Random
    ) -> Heartbeat:
        """Return a heartbeat for an instance of a data centre.

        Other data centres get only the instances of this one, because theirs tell
        them of the rest.
        """
        is_near = receiver_data_centre == self.own.data_centre
        members = self.list_live(now) if is_near else self.list_neighbours(now)
        if len(members) >= MAX_ROWS:
            members = rng.sample(members, MAX_ROWS - 1)
        return Heartbeat(sender=self._own, others=tuple(members))

    def list_ahead(self, now: float) -> list[Member]:
        """Return live instances whose replica has what this one lacks."""
        own = (self._own.revision, self._own.digest)
        return [
            member
            for member in self.list_live(now)
            if member.revision >= own[0] and (member.revision, member.digest) != own
        ]

    def _outlive(self, claimed: Member) -> None:
        # After a step of the clock an earlier start may bear a higher number.
        if claimed.incarnation > self._own.incarnation or (
            claimed.incarnation == self._own.incarnation
            and claimed.beat > self._own.beat
        ):
            self._own = attrs.evolve(self._own, incarnation=claimed.incarnation + 1)

    def _is_live(self, seen: _Seen, now: float) -> bool:
        is_near = seen.member.data_centre == self._own.data_centre
        return now - seen.moved_ms <= (SILENT_MS if is_near else REMOTE_SILENT_MS)
