"""Tests of membership."""

import random
from typing import Any

import attrs

from currantline.fleet import (
    Datagram,
    DatagramKind,
    Health,
    Member,
    MemberStatus,
    Roster,
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
    return Datagram(kind=DatagramKind.NEWS, sender=sender, members=members)


def make_roster(*members: Member, own: str = "10.0.0.5") -> Roster:
    """Return the roster of an instance that has heard of members."""
    roster = Roster(make_member(own), now=0.0)
    for member in members:
        roster.receive(make_datagram(member), 0.0)
    return roster


class TestRoster:
    """Who lives and who reads."""

    def test_no_answer(self) -> None:
        """Guards against a dead instance that still gets callers."""
        other = make_member("10.0.0.6")
        roster = make_roster(other, make_member("10.1.0.1", "b"))
        roster.suspect(other, 1_000.0)
        assert [m.host for m in roster.list_ready()] == ["10.1.0.1"]
        assert roster.list_dead() == []
        roster.expire(1_800.0)
        assert roster.list_dead() == ["10.0.0.6"]

    def test_contradicted(self) -> None:
        """Guards against one lost datagram that takes an instance for dead."""
        other = make_member("10.0.0.6")
        roster = make_roster(other)
        roster.suspect(other, 1_000.0)
        roster.receive(make_datagram(attrs.evolve(other, version=2)), 1_400.0)
        roster.expire(5_000.0)
        assert [m.host for m in roster.list_ready()] == ["10.0.0.6"]

    def test_contradicts(self) -> None:
        """Guards against an instance that does not hear that it is suspected."""
        roster = make_roster()
        before = roster.own
        report = attrs.evolve(before, health=Health.DEAD)
        roster.receive(make_datagram(make_member("10.0.0.6"), report), 0.0)
        assert roster.own.replaces(report)
        assert roster.own.health is Health.ALIVE

    def test_old_news(self) -> None:
        """Guards against late datagrams that bring a dead instance back."""
        other = make_member("10.0.0.6", version=9)
        roster = make_roster(other)
        roster.suspect(other, 0.0)
        roster.expire(800.0)
        roster.receive(make_datagram(make_member("10.0.0.6", version=8)), 900.0)
        assert roster.list_live() == []

    def test_restart(self) -> None:
        """Guards against an instance that counts as dead after its restart."""
        roster = make_roster(
            make_member("10.0.0.6", version=900, health=Health.DEAD),
        )
        again = make_member("10.0.0.6", incarnation=2)
        roster.receive(make_datagram(again), 5_000.0)
        assert roster.list_live() == [again]

    def test_clock_step_back(self) -> None:
        """Guards against a restart with an earlier clock that nobody hears."""
        roster = Roster(make_member("10.0.0.5", incarnation=7), now=0.0)
        claim = make_member("10.0.0.5", incarnation=900)
        roster.receive(make_datagram(make_member("10.0.0.6"), claim), 0.0)
        assert roster.own.incarnation == 901

    def test_forgotten(self) -> None:
        """Guards against a list of dead instances that grows for ever."""
        roster = make_roster(make_member("10.0.0.6", health=Health.DEAD))
        roster.expire(600_000.0)
        assert roster.known == 0

    def test_one_reader(self) -> None:
        """Guards against several readers, and against none once one is refused."""
        first, second = make_member("10.0.0.1"), make_member("10.0.0.2")
        assert not make_roster(first, second).is_reader(1_000.0)
        refused = attrs.evolve(first, can_read=False)
        leaving = attrs.evolve(second, status=MemberStatus.LEAVING)
        assert make_roster(refused, leaving).is_reader(1_000.0)
        assert make_roster(make_member("10.9.0.1", "b")).is_reader(1_000.0)

    def test_suspected_reader(self) -> None:
        """Guards against changes that wait until a silent reader is taken for dead."""
        first = make_member("10.0.0.1")
        roster = make_roster(first)
        roster.suspect(first, 1_000.0)
        assert roster.is_reader(1_000.0)

    def test_refused_instance_does_not_read(self) -> None:
        """Guards against a reader that the platform does not answer."""
        roster = make_roster(make_member("10.0.0.9"))
        roster.update_own(status=MemberStatus.READY, can_read=False)
        assert not roster.is_reader(1_000.0)

    def test_readers_in_doubt(self) -> None:
        """Guards against a single next reader that the platform refuses as well."""
        refused = make_member("10.0.0.1", can_read=False)
        before = [make_member(f"10.0.0.{number}") for number in (2, 3, 4)]
        assert make_roster(refused, *before[:2]).is_reader(1_000.0)
        assert not make_roster(refused, *before).is_reader(1_000.0)
        assert make_roster(refused, *before[:2]).is_lookout()

    def test_one_lookout(self) -> None:
        """Guards against short watches of every reader, since each call is priced."""
        assert make_roster(make_member("10.1.0.1", "b")).is_lookout()
        assert not make_roster(make_member("10.0.0.1", "b")).is_lookout()

    def test_size_only_grows(self) -> None:
        """Guards against a larger part of the retry budget in a partition."""
        roster = make_roster(make_member("10.0.0.6"), make_member("10.1.0.1", "b"))
        dead = make_member("10.0.0.6", health=Health.DEAD)
        roster.receive(make_datagram(make_member("10.1.0.1", "b"), dead), 0.0)
        assert len(roster.list_live()) == 1
        assert roster.size == 3


class TestRows:
    """What datagrams tell."""

    def select(self, roster: Roster, receiver: str, knows: int = 9_999) -> set[str]:
        """Return the hosts that a datagram tells of."""
        rows = roster.select_rows(
            receiver, receiver_knows=knows, now=0.0, rng=random.Random(1)
        )
        return {row.host for row in rows}

    def test_rumour_ends(self) -> None:
        """Guards against datagrams that tell the whole fleet for ever."""
        members = [make_member(f"10.0.1.{n}") for n in range(20)]
        roster = make_roster(*members)
        assert len(self.select(roster, "10.0.9.9")) == 20
        for _ in range(30):
            self.select(roster, "10.0.9.9")
        assert len(self.select(roster, "10.0.9.9")) <= 4

    def test_newcomer(self) -> None:
        """Guards against a newcomer that learns of the fleet row by row."""
        roster = make_roster(*(make_member(f"10.0.1.{n}") for n in range(20)))
        for _ in range(30):
            self.select(roster, "10.0.9.9")
        assert len(self.select(roster, "10.0.9.9", knows=1)) == 20

    def test_suspect_is_told(self) -> None:
        """Guards against a suspect that cannot contradict."""
        other = make_member("10.0.0.6")
        roster = make_roster(other)
        roster.suspect(other, 0.0)
        for _ in range(30):
            self.select(roster, "10.0.9.9")
        assert "10.0.0.6" in self.select(roster, "10.0.0.6")
