"""Tests of the datagram codec and of host selection."""

import random

import pytest

from currantline.exceptions import PeerError
from currantline.fleet import (
    Datagram,
    DatagramKind,
    Health,
    Member,
    MemberStatus,
    choose_hosts,
    decode_datagram,
    encode_datagram,
)

DATA_CENTRES = ("a", "b")


def make_member(number: int, data_centre: str = "a", *, weight: int = 1) -> Member:
    """Return a member with long values in all fields."""
    return Member(
        host=f"255.255.255.{number}",
        data_centre=data_centre,
        incarnation=1_700_000_000_000,
        version=100_000,
        status=MemberStatus.LEAVING,
        can_reach_platform=False,
        health=Health.SUSPECT,
        weight=weight,
    )


def make_datagram(*members: Member) -> Datagram:
    """Return a datagram with long values in all fields."""
    return Datagram(
        kind=DatagramKind.PING_REQUEST,
        sequence_number=1_000_000,
        subject="255.255.255.7",
        sender=make_member(1),
        known_count=4_000,
        revision=1_000_000,
        digest=2**32 - 1,
        members=members,
    )


class TestDatagramCodec:
    """Encoding and decoding of datagrams."""

    def test_round_trip(self) -> None:
        """Guards against fields that are lost in encoding or decoding."""
        datagram = make_datagram(make_member(2, "b", weight=5))
        data = encode_datagram(datagram, DATA_CENTRES)
        assert decode_datagram(data, DATA_CENTRES) == datagram

    def test_fits_a_frame(self) -> None:
        """Guards against full datagrams that exceed one Ethernet frame."""
        datagram = make_datagram(*(make_member(number) for number in range(100, 129)))
        assert len(encode_datagram(datagram, DATA_CENTRES)) <= 1472

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"[1]",
            b"[1,[]]",
            b'[2,0,1,"",1,1,1,[]]',
            b'[2,0,1,"",1,1,1,[["10.1.0.1",9,1,1,1]]]',
            b'[2,9,1,"",1,1,1,[["10.1.0.1",0,1,1,1]]]',
            b'[2,0,1,"",1,1,1,[["h",0,1,1,1]]]',
            b'[2,0,1,"",1,1,1,[["10.1.0.1",0,1,1,1],["\\u0000",0,1,1,1]]]',
            b"\xff",
            b'[2,0,1,"",1e999,1,1,[["10.1.0.1",0,1,1,1]]]',
            b"[" * 100_000,
            b'[2,0,1,"",1,1,1,[["10.1.0.1",0,1,1,1,0]]]',
            b'[2,0,1,"",1,1,1,[["10.1.0.1",0,1,1,1,1000000]]]',
            b'[2,0,1,"",1,1,1,[["10.1.0.1",0,1,1,1,1,1]]]',
        ],
    )
    def test_malformed(self, data: bytes) -> None:
        """Guards against foreign datagrams that terminate the task."""
        with pytest.raises(PeerError):
            decode_datagram(data, DATA_CENTRES)


class TestChooseHosts:
    """Selection of hosts for callers."""

    def test_own_data_centre(self) -> None:
        """Guards against callers that are sent to other data centres without need."""
        members = [make_member(n) for n in range(1, 5)] + [make_member(9, "b")]
        hosts = choose_hosts(members, "a", random.Random(1))
        assert sorted(hosts) == [f"255.255.255.{n}" for n in range(1, 5)]

    def test_few_in_the_data_centre(self) -> None:
        """Guards against responses with a single host or none in small data centres."""
        members = [make_member(n) for n in range(1, 5)] + [make_member(9, "b")]
        assert "255.255.255.9" in choose_hosts(members, "b", random.Random(1))
        assert len(choose_hosts(members, "b", random.Random(1))) == 3
        assert len(choose_hosts(members, "unknown", random.Random(1))) == 3

    def test_bounded(self) -> None:
        """Guards against responses whose size grows with the fleet."""
        members = [make_member(n) for n in range(1, 100)]
        assert len(set(choose_hosts(members, "a", random.Random(1)))) == 64


UNEQUAL_MEMBERS = [make_member(n, weight=5 if n < 3 else 1) for n in range(1, 16)]


class TestWeights:
    """Callers of a data centre with instances of different weights."""

    def draw_shares(self, members: list[Member]) -> dict[str, float]:
        """Return the share of the callers that each instance gets."""
        rng, responses = random.Random(1), 4_000
        shares = {member.host: 0.0 for member in members}
        for _ in range(responses):
            hosts = choose_hosts(members, "a", rng)
            assert len(set(hosts)) == len(hosts) >= 4
            for host in hosts:
                shares[host] += 1.0 / len(hosts) / responses
        return shares

    def test_shares(self) -> None:
        """Guards against thin links of small instances that fill at peak load.

        Callers use all hosts of a response alike, so the responses have to differ.
        """
        shares = self.draw_shares(UNEQUAL_MEMBERS)
        total = sum(member.weight for member in UNEQUAL_MEMBERS)
        for member in UNEQUAL_MEMBERS:
            expected = member.weight / total
            assert 0.8 * expected <= shares[member.host] <= 1.2 * expected

    def test_without_large_bodies(self) -> None:
        """Guards against deployments without large bodies that are served anew."""
        hosts = choose_hosts(UNEQUAL_MEMBERS, "a", random.Random(1), uses_weights=False)
        assert hosts == [member.host for member in UNEQUAL_MEMBERS]

    def test_large_instances_lost(self) -> None:
        """Guards against responses without a host once the large instances are gone."""
        shares = self.draw_shares(UNEQUAL_MEMBERS[2:])
        assert min(shares.values()) > 0.0

    def test_few_instances(self) -> None:
        """Guards against hosts named twice where one instance outweighs the others."""
        members = [make_member(1, weight=8), *(make_member(n) for n in range(2, 6))]
        assert set(self.draw_shares(members)) == {member.host for member in members}
