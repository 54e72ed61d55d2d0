"""Tests of membership."""

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
    """Return a ready instance."""
    member = Member(
        host=host,
        data_centre=data_centre,
        incarnation=1,
        version=1,
        status=MemberStatus.READY,
    )
    return attrs.evolve(member, **values)


def make_datagram(sender: Member, *members: Member) -> Datagram:
    """Return news of a sender."""
    return Datagram(kind=DatagramKind.UPDATE, sender=sender, members=members)


def make_membership_list(
    *members: Member, local_member: str = "10.0.0.5"
) -> MembershipList:
    """Return the roster of an instance that has heard of members."""
    membership = MembershipList(make_member(local_member), now=0.0)
    for member in members:
        membership.receive(make_datagram(member), 0.0)
    return membership


class TestMembershipList:
    """Who lives and who reads."""

    def test_no_answer(self) -> None:
        """Guards against a dead instance that still gets callers."""
        other = make_member("10.0.0.6")
        membership = make_membership_list(other, make_member("10.1.0.1", "b"))
        membership.suspect(other, 1_000.0)
        assert [m.host for m in membership.list_ready()] == ["10.1.0.1"]
        assert membership.list_dead() == []
        membership.expire(1_800.0)
        assert membership.list_dead() == ["10.0.0.6"]

    def test_suspicion_refuted(self) -> None:
        """Guards against one lost datagram that takes an instance for dead."""
        other = make_member("10.0.0.6")
        membership = make_membership_list(other)
        membership.suspect(other, 1_000.0)
        membership.receive(make_datagram(attrs.evolve(other, version=2)), 1_400.0)
        membership.expire(5_000.0)
        assert [m.host for m in membership.list_ready()] == ["10.0.0.6"]

    def test_refutes_own_death(self) -> None:
        """Guards against an instance that does not hear that it is suspected."""
        membership = make_membership_list()
        before = membership.local_member
        report = attrs.evolve(before, health=Health.DEAD)
        membership.receive(make_datagram(make_member("10.0.0.6"), report), 0.0)
        assert membership.local_member.replaces(report)
        assert membership.local_member.health is Health.ALIVE

    def test_stale_update(self) -> None:
        """Guards against late datagrams that bring a dead instance back."""
        other = make_member("10.0.0.6", version=9)
        membership = make_membership_list(other)
        membership.suspect(other, 0.0)
        membership.expire(800.0)
        membership.receive(make_datagram(make_member("10.0.0.6", version=8)), 900.0)
        assert membership.list_live() == []

    def test_restart(self) -> None:
        """Guards against an instance that counts as dead after its restart."""
        membership = make_membership_list(
            make_member("10.0.0.6", version=900, health=Health.DEAD),
        )
        restarted = make_member("10.0.0.6", incarnation=2)
        membership.receive(make_datagram(restarted), 5_000.0)
        assert membership.list_live() == [restarted]

    def test_clock_step_back(self) -> None:
        """Guards against a restart with an earlier clock that nobody hears."""
        membership = MembershipList(make_member("10.0.0.5", incarnation=7), now=0.0)
        claim = make_member("10.0.0.5", incarnation=900)
        membership.receive(make_datagram(make_member("10.0.0.6"), claim), 0.0)
        assert membership.local_member.incarnation == 901

    def test_dead_members_expire(self) -> None:
        """Guards against a list of dead instances that grows for ever."""
        membership = make_membership_list(make_member("10.0.0.6", health=Health.DEAD))
        membership.expire(600_000.0)
        assert membership.known_count == 0

    def test_one_reader(self) -> None:
        """Guards against several readers, and against none once one is refused."""
        first, second = make_member("10.0.0.1"), make_member("10.0.0.2")
        assert not make_membership_list(first, second).is_reader(1_000.0)
        cut_off = attrs.evolve(first, can_reach_platform=False)
        leaving = attrs.evolve(second, status=MemberStatus.LEAVING)
        assert make_membership_list(cut_off, leaving).is_reader(1_000.0)
        assert make_membership_list(make_member("10.9.0.1", "b")).is_reader(1_000.0)

    def test_suspected_reader(self) -> None:
        """Guards against changes that wait until a silent reader is taken for dead."""
        first = make_member("10.0.0.1")
        membership = make_membership_list(first)
        membership.suspect(first, 1_000.0)
        assert membership.is_reader(1_000.0)

    def test_cut_off_instance_does_not_read(self) -> None:
        """Guards against a reader that the platform does not answer."""
        membership = make_membership_list(make_member("10.0.0.9"))
        membership.update_local_member(
            status=MemberStatus.READY, can_reach_platform=False
        )
        assert not membership.is_reader(1_000.0)

    def test_readers_in_partial_outage(self) -> None:
        """Guards against a single next reader that the platform refuses as well."""
        cut_off = make_member("10.0.0.1", can_reach_platform=False)
        before = [make_member(f"10.0.0.{number}") for number in (2, 3, 4)]
        assert make_membership_list(cut_off, *before[:2]).is_reader(1_000.0)
        assert not make_membership_list(cut_off, *before).is_reader(1_000.0)
        assert make_membership_list(cut_off, *before[:2]).uses_short_watches()

    def test_one_short_watcher(self) -> None:
        """Guards against short watches of every reader, since each call is priced."""
        assert make_membership_list(make_member("10.1.0.1", "b")).uses_short_watches()
        assert not make_membership_list(
            make_member("10.0.0.1", "b")
        ).uses_short_watches()

    def test_peak_size(self) -> None:
        """Guards against a larger part of the retry budget in a partition."""
        membership = make_membership_list(
            make_member("10.0.0.6"), make_member("10.1.0.1", "b")
        )
        dead = make_member("10.0.0.6", health=Health.DEAD)
        membership.receive(make_datagram(make_member("10.1.0.1", "b"), dead), 0.0)
        assert len(membership.list_live()) == 1
        assert membership.peak_size == 3


class TestSelectMembers:
    """What datagrams tell."""

    def select(
        self, membership: MembershipList, receiver: str, known_count: int = 9_999
    ) -> set[str]:
        """Return the hosts that a datagram tells of."""
        members = membership.select_members(
            receiver, receiver_known_count=known_count, now=0.0, rng=random.Random(1)
        )
        return {member.host for member in members}

    def test_retransmissions_end(self) -> None:
        """Guards against datagrams that tell the whole fleet for ever."""
        members = [make_member(f"10.0.1.{n}") for n in range(20)]
        membership = make_membership_list(*members)
        assert len(self.select(membership, "10.0.9.9")) == 20
        for _ in range(30):
            self.select(membership, "10.0.9.9")
        assert len(self.select(membership, "10.0.9.9")) <= 4

    def test_full_datagram_to_new_member(self) -> None:
        """Guards against a newcomer that learns of the fleet row by row."""
        membership = make_membership_list(
            *(make_member(f"10.0.1.{n}") for n in range(20))
        )
        for _ in range(30):
            self.select(membership, "10.0.9.9")
        assert len(self.select(membership, "10.0.9.9", known_count=1)) == 20

    def test_suspect_is_notified(self) -> None:
        """Guards against a suspect that cannot contradict."""
        other = make_member("10.0.0.6")
        membership = make_membership_list(other)
        membership.suspect(other, 0.0)
        for _ in range(30):
            self.select(membership, "10.0.9.9")
        assert "10.0.0.6" in self.select(membership, "10.0.0.6")
