"""Tests of readiness."""

from currantline.membership import MembershipOptions, Readiness, Status

JOIN_TIMEOUT_MS = MembershipOptions().join_timeout_ms


def make_readiness() -> Readiness:
    """Return the readiness of an instance at record 5 in a fleet of four."""
    readiness = Readiness("a", started_at=0)
    readiness.record_local(5, 3)
    readiness.record_listed("abcd")
    return readiness


def record_response(
    readiness: Readiness, name: str, status: Status, sequence: int = 5
) -> None:
    """Record a response of a peer."""
    readiness.record_response(name, status, sequence=sequence, version=3)


class TestReadiness:
    """Conditions for an instance to become ready."""

    def test_ready_peer(self) -> None:
        """Guards against an instance that serves an older configuration than peers."""
        readiness = make_readiness()
        assert not readiness.decide(0).is_ready
        record_response(readiness, "b", Status.READY, sequence=6)
        assert readiness.decide(0).reason == "at record 5 of 6"
        readiness.record_local(6, 3)
        assert readiness.decide(0).is_ready

    def test_service_ahead(self) -> None:
        """Guards against a record that was read from the service but not applied."""
        readiness = make_readiness()
        record_response(readiness, "b", Status.READY)
        readiness.record_reported(6)
        assert not readiness.decide(JOIN_TIMEOUT_MS).is_ready

    def test_no_configuration(self) -> None:
        """Guards against a new fleet that is ready without a configuration."""
        readiness = Readiness("a", started_at=0)
        readiness.record_listed("a")
        assert readiness.decide(JOIN_TIMEOUT_MS).reason == "no configuration yet"

    def test_all_listed_answered(self) -> None:
        """Guards against a deadlock when all instances of a fleet start together."""
        readiness = make_readiness()
        for name in "bc":
            record_response(readiness, name, Status.STARTING)
        assert not readiness.decide(0).is_ready
        record_response(readiness, "d", Status.STARTING)
        assert readiness.decide(0).is_ready

    def test_majority_after_timeout(self) -> None:
        """Guards against a minority that starts with an old configuration."""
        readiness = make_readiness()
        record_response(readiness, "b", Status.STARTING)
        record_response(readiness, "x", Status.STARTING)
        assert not readiness.decide(JOIN_TIMEOUT_MS).is_ready
        record_response(readiness, "c", Status.STARTING)
        assert not readiness.decide(JOIN_TIMEOUT_MS - 1).is_ready
        assert readiness.decide(JOIN_TIMEOUT_MS).is_ready

    def test_list_unread(self) -> None:
        """Guards against treating an unread list as an empty one."""
        readiness = Readiness("a", started_at=0)
        readiness.record_local(5, 3)
        assert not readiness.decide(JOIN_TIMEOUT_MS).is_ready

    def test_pause(self) -> None:
        """Guards against a paused instance that serves before it has caught up."""
        readiness = make_readiness()
        record_response(readiness, "b", Status.READY)
        assert readiness.decide(0).is_ready
        readiness.reset(50_000)
        assert not readiness.decide(50_000 + JOIN_TIMEOUT_MS - 1).is_ready
        record_response(readiness, "b", Status.READY)
        assert readiness.decide(50_000).is_ready

    def test_not_ready(self) -> None:
        """Guards against a leaving, replaced or outdated instance that stays ready."""
        readiness = make_readiness()
        record_response(readiness, "b", Status.READY)
        assert readiness.status(0) is Status.READY
        readiness.record_replaced(True)
        assert readiness.status(0) is Status.STARTING
        readiness.record_replaced(False)
        readiness.record_schema_known(False)
        assert readiness.status(0) is Status.STARTING
        readiness.leave()
        assert readiness.status(0) is Status.LEAVING
