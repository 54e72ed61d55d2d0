"""Tests of probe order and timeouts."""

import random

from currantline.fleet import Member, ProbeTracker


def make_member(host: str) -> Member:
    """Return a member with the given host."""
    return Member(host=host, data_centre="a", incarnation=1)


class TestProbes:
    """Tracking of pings in flight."""

    def test_round_robin(self) -> None:
        """Guards against instances that a random choice leaves unprobed for long."""
        members = [make_member(f"h{n}") for n in range(10)]
        probes = ProbeTracker(random.Random(1))
        for _ in range(3):
            chosen = {probes.choose_next(members) for _ in members}
            assert chosen == set(members)
        assert probes.choose_next([]) is None

    def test_acknowledged(self) -> None:
        """Guards against timeouts of acknowledged pings."""
        probes = ProbeTracker(random.Random(1))
        probes.acknowledge(probes.begin(make_member("h"), 0.0))
        assert probes.take_timed_out(10_000.0) == []

    def test_indirect_probe_before_suspicion(self) -> None:
        """Guards against suspicion because of one failed network path."""
        probes = ProbeTracker(random.Random(1))
        sequence_number = probes.begin(make_member("h"), 0.0)
        assert probes.take_timed_out(100.0) == []
        first = probes.take_timed_out(130.0)
        assert [(probe.sequence_number, probe.is_indirect) for probe in first] == [
            (sequence_number, False)
        ]
        assert probes.take_timed_out(140.0) == []
        second = probes.take_timed_out(400.0)
        assert [probe.is_indirect for probe in second] == [True]
        assert probes.take_timed_out(10_000.0) == []
