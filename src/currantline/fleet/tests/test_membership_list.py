"""Tests of the membership list."""

import random
from typing import Any

import attrs

from currantline.fleet import (
    Datagram,
    DatagramKind,
    Health,
    Member,
    MembershipList,
    MemberStatus,
)


def make_member(host: str, data_centre: str = "a", **values: Any) -> Member:
    """Return a ready member."""
    member = Member(
        host=host,
        data_centre=data_centre,
        incarnation=1,
        version=1,
        status=MemberStatus.READY,
    )
    return attrs.evolve(member, **values)


def make_datagram(sender: Member, *members: Member) -> Datagram:
    """Return an update from a sender."""
    return Datagram(kind=DatagramKind.UPDATE, sender=sender, members=members)


def make_membership_list(
    *members: Member, local_member: str = "10.0.0.5"
) -> MembershipList:
    """Return the membership list of an instance that knows the given members."""
    membership = MembershipList(make_member(local_member), now=0.0)
    for member in members:
        membership.receive(make_datagram(member), 0.0)
    return membership


class TestMembershipList:
    """Failure states and reader election."""

    def test_no_answer(self) -> None:
        """Guards against callers that are sent to an instance that does not answer."""
        other = make_member("10.0.0.6")
        membership = make_membership_list(other, make_member("10.1.0.1", "b"))
        membership.suspect(other, 1_000.0)
        assert [m.host for m in membership.list_ready()] == ["10.1.0.1"]
        assert membership.list_dead() == []
        membership.expire(1_800.0)
        assert membership.list_dead() == ["10.0.0.6"]

    def test_suspicion_refuted(self) -> None:
        """Guards against live instances declared dead after a lost datagram."""
        other = make_member("10.0.0.6")
        membership = make_membership_list(other)
        membership.suspect(other, 1_000.0)
        membership.receive(make_datagram(attrs.evolve(other, version=2)), 1_400.0)
        membership.expire(5_000.0)
        assert [m.host for m in membership.list_ready()] == ["10.0.0.6"]

    def test_refutes_own_death(self) -> None:
        """Guards against an instance that does not refute a report of its death."""
        membership = make_membership_list()
        before = membership.local_member
        report = attrs.evolve(before, health=Health.DEAD)
        membership.receive(make_datagram(make_member("10.0.0.6"), report), 0.0)
        assert membership.local_member.replaces(report)
        assert membership.local_member.health is Health.ALIVE

    def test_stale_update(self) -> None:
        """Guards against stale datagrams that revive a dead instance."""
        other = make_member("10.0.0.6", version=9)
        membership = make_membership_list(other)
        membership.suspect(other, 0.0)
        membership.expire(800.0)
        membership.receive(make_datagram(make_member("10.0.0.6", version=8)), 900.0)
        assert membership.list_live() == []

    def test_restart(self) -> None:
        """Guards against an instance that stays dead after its restart."""
        membership = make_membership_list(
            make_member("10.0.0.6", version=900, health=Health.DEAD),
        )
        restarted = make_member("10.0.0.6", incarnation=2)
        membership.receive(make_datagram(restarted), 5_000.0)
        assert membership.list_live() == [restarted]

    def test_clock_step_back(self) -> None:
        """Guards against updates ignored after a restart with the clock set back."""
        membership = MembershipList(make_member("10.0.0.5", incarnation=7), now=0.0)
        claim = make_member("10.0.0.5", incarnation=900)
        membership.receive(make_datagram(make_member("10.0.0.6"), claim), 0.0)
        assert membership.local_member.incarnation == 901

    def test_dead_members_expire(self) -> None:
        """Guards against a membership list that grows without bound."""
        membership = make_membership_list(make_member("10.0.0.6", health=Health.DEAD))
        membership.expire(600_000.0)
        assert membership.known_count == 0

    def test_one_reader(self) -> None:
        """Guards against several readers, and against none if the first is cut off."""
        first, second = make_member("10.0.0.1"), make_member("10.0.0.2")
        assert not make_membership_list(first, second).is_reader(1_000.0)
        cut_off = attrs.evolve(first, can_reach_platform=False)
        leaving = attrs.evolve(second, status=MemberStatus.LEAVING)
        assert make_membership_list(cut_off, leaving).is_reader(1_000.0)
        assert make_membership_list(make_member("10.9.0.1", "b")).is_reader(1_000.0)

    def test_suspected_reader(self) -> None:
        """Guards against changes delayed until a suspected reader is declared dead."""
        first = make_member("10.0.0.1")
        membership = make_membership_list(first)
        membership.suspect(first, 1_000.0)
        assert membership.is_reader(1_000.0)

    def test_cut_off_instance_does_not_read(self) -> None:
        """Guards against a reader that cannot reach the platform."""
        membership = make_membership_list(make_member("10.0.0.9"))
        membership.update_local_member(
            status=MemberStatus.READY, can_reach_platform=False
        )
        assert not membership.is_reader(1_000.0)

    def test_readers_in_partial_outage(self) -> None:
        """Guards against a single substitute reader that is cut off as well."""
        cut_off = make_member("10.0.0.1", can_reach_platform=False)
        before = [make_member(f"10.0.0.{number}") for number in (2, 3, 4)]
        assert make_membership_list(cut_off, *before[:2]).is_reader(1_000.0)
        assert not make_membership_list(cut_off, *before).is_reader(1_000.0)
        assert make_membership_list(cut_off, *before[:2]).uses_short_watches()

    def test_one_short_watcher(self) -> None:
        """Guards against short watches by all readers, since each call is billed."""
        assert make_membership_list(make_member("10.1.0.1", "b")).uses_short_watches()
        assert not make_membership_list(
            make_member("10.0.0.1", "b")
        ).uses_short_watches()

    def test_peak_size(self) -> None:
        """Guards against a larger share of the retry budget during a partition."""
        membership = make_membership_list(
            make_member("10.0.0.6"), make_member("10.1.0.1", "b")
        )
        dead = make_member("10.0.0.6", health=Health.DEAD)
        membership.receive(make_datagram(make_member("10.1.0.1", "b"), dead), 0.0)
        assert len(membership.list_live()) == 1
        assert membership.peak_size == 3


class TestSelectMembers:
    """Selection of the members in a datagram."""

    def select(
        self, membership: MembershipList, receiver: str, known_count: int = 9_999
    ) -> set[str]:
        """Return the hosts of the selected members."""
        members = membership.select_members(
            receiver, receiver_known_count=known_count, now=0.0, rng=random.Random(1)
        )
        return {member.host for member in members}

    def test_retransmissions_end(self) -> None:
        """Guards against updates that are retransmitted without end."""
        members = [make_member(f"10.0.1.{n}") for n in range(20)]
        membership = make_membership_list(*members)
        assert len(self.select(membership, "10.0.9.9")) == 20
        for _ in range(30):
            self.select(membership, "10.0.9.9")
        assert len(self.select(membership, "10.0.9.9")) <= 4

    def test_full_datagram_to_new_member(self) -> None:
        """Guards against new instances that learn the fleet in small steps."""
        membership = make_membership_list(
            *(make_member(f"10.0.1.{n}") for n in range(20))
        )
        for _ in range(30):
            self.select(membership, "10.0.9.9")
        assert len(self.select(membership, "10.0.9.9", known_count=1)) == 20

    def test_suspect_is_notified(self) -> None:
        """Guards against suspects that are not notified and so cannot refute."""
        other = make_member("10.0.0.6")
        membership = make_membership_list(other)
        membership.suspect(other, 0.0)
        for _ in range(30):
            self.select(membership, "10.0.9.9")
        assert "10.0.0.6" in self.select(membership, "10.0.0.6")
