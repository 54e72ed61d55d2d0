"""Tests of the schedule of evidence requests to peers."""

from currantline.load import EvidenceRequestSchedule

SOURCES = {"t0": ["a", "b"], "t1": ["b"]}


class TestEvidenceRequestSchedule:
    """Distribution of requests over peers and time."""

    def test_rate(self) -> None:
        """Guards against a message per target and over 2 per second to a peer."""
        schedule = EvidenceRequestSchedule()
        requested = {now: schedule.choose(SOURCES, now) for now in range(0, 1100, 50)}
        due = {now: requests for now, requests in requested.items() if requests}
        assert list(due) == [0, 500, 1000]
        assert due[500] == {"a": ("t0",), "b": ("t0", "t1")}

    def test_change_of_owner(self) -> None:
        """Guards against a new owner that waits for the interval before it sends."""
        schedule = EvidenceRequestSchedule()
        schedule.choose({"t1": ["b"]}, 0)
        assert schedule.choose(SOURCES, 10) == {"a": ("t0",)}
        schedule.reset()
        assert schedule.choose(SOURCES, 20) == {"a": ("t0",), "b": ("t0", "t1")}
