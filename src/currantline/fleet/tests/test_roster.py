"""Tests of membership."""

import random
from typing import Any

import attrs

from currantline.fleet import Heartbeat, Member, MemberStatus, Roster


def make_member(host: str, data_centre: str = "a", **values: Any) -> Member:
    """Return a ready instance."""
    member = Member(
        host=host,
        data_centre=data_centre,
        incarnation=1,
        beat=1,
        status=MemberStatus.READY,
    )
    return attrs.evolve(member, **values)


def make_roster(*members: Member, own: str = "10.0.0.5") -> Roster:
    """Return the roster of an instance that has heard of members."""
    roster = Roster(make_member(own), now=0.0)
    for member in members:
        roster.receive(Heartbeat(sender=member), 0.0)
    return roster


class TestRoster:
    """Who lives, who reads, and what is told."""

    def test_silence(self) -> None:
        """Guards against a dead instance that still gets callers."""
        roster = make_roster(make_member("10.0.0.6"), make_member("10.1.0.1", "b"))
        assert {m.host for m in roster.list_ready(1_000.0)} == {"10.0.0.6", "10.1.0.1"}
        assert {m.host for m in roster.list_ready(2_000.0)} == {"10.1.0.1"}
        assert roster.list_ready(4_000.0) == []
        assert sorted(roster.list_silent(4_000.0)) == ["10.0.0.6", "10.1.0.1"]

    def test_old_news(self) -> None:
        """Guards against late heartbeats that keep a dead instance alive."""
        roster = make_roster(make_member("10.0.0.6", beat=9))
        roster.receive(Heartbeat(sender=make_member("10.0.0.6", beat=8)), 1_200.0)
        assert roster.list_live(2_000.0) == []

    def test_restart(self) -> None:
        """Guards against an instance that counts as dead after its restart."""
        roster = make_roster(make_member("10.0.0.6", beat=900))
        again = make_member("10.0.0.6", incarnation=2, beat=1)
        roster.receive(Heartbeat(sender=again), 5_000.0)
        assert roster.list_live(5_000.0) == [again]

    def test_clock_step_back(self) -> None:
        """Guards against a restart with an earlier clock that nobody hears."""
        roster = Roster(make_member("10.0.0.5", incarnation=7), now=0.0)
        claim = make_member("10.0.0.5", incarnation=900, beat=50)
        teller = make_member("10.0.0.6")
        roster.receive(Heartbeat(sender=teller, others=(claim,)), 0.0)
        assert roster.own.incarnation == 901

    def test_one_reader(self) -> None:
        """Guards against several readers, and against none once one is refused."""
        first, second = make_member("10.0.0.1"), make_member("10.0.0.2")
        assert not make_roster(first, second).is_reader(1_000.0)
        refused = attrs.evolve(first, can_read=False)
        leaving = attrs.evolve(second, status=MemberStatus.LEAVING)
        assert make_roster(refused, leaving).is_reader(1_000.0)
        assert make_roster(make_member("10.9.0.1", "b")).is_reader(1_000.0)

    def test_refused_instance_does_not_read(self) -> None:
        """Guards against a reader that the platform does not answer."""
        roster = make_roster(make_member("10.0.0.9"))
        roster.update_own(
            status=MemberStatus.READY, can_read=False, revision=0, digest=0
        )
        assert not roster.is_reader(1_000.0)

    def test_ahead(self) -> None:
        """Guards against missed changes, and pulls that bring nothing."""
        behind = make_member("10.0.0.6", revision=3, digest=1)
        equal = make_member("10.0.0.7", revision=5, digest=2)
        differs = make_member("10.0.0.8", revision=5, digest=3)
        newer = make_member("10.0.0.9", revision=6, digest=4)
        roster = make_roster(behind, equal, differs, newer)
        roster.update_own(
            status=MemberStatus.READY, can_read=True, revision=5, digest=2
        )
        assert {m.host for m in roster.list_ahead(0.0)} == {"10.0.0.8", "10.0.0.9"}

    def test_heartbeat_to_another_data_centre(self) -> None:
        """Guards against heartbeats that carry the whole fleet everywhere."""
        roster = make_roster(make_member("10.0.0.6"), make_member("10.1.0.1", "b"))
        rng = random.Random(1)
        far = roster.build_heartbeat("b", 0.0, rng)
        near = roster.build_heartbeat("a", 0.0, rng)
        assert {m.host for m in far.others} == {"10.0.0.6"}
        assert len(near.others) == 2

    def test_size_only_grows(self) -> None:
        """Guards against a larger part of the retry budget in a partition."""
        roster = make_roster(make_member("10.0.0.6"), make_member("10.1.0.1", "b"))
        roster.receive(Heartbeat(sender=make_member("10.0.0.7")), 60_000.0)
        assert len(roster.list_live(60_000.0)) == 1
        assert roster.size == 3
