"""Tests of the rights to probe and of whom to ask for evidence."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from currantline.clock import ManualClock
from currantline.configuration import Configuration
from currantline.control import (
    EvidenceRequester,
    EvidenceSources,
    OwnedTargets,
    list_services_without_evidence,
)
from currantline.directory import OwnershipTable, assign_owners
from currantline.load import ShareRights, TargetNotice, TargetState, TargetTracker
from currantline.load.tests.test_target_tracker import (
    make_observation,
    make_service,
    make_tracker,
)
from currantline.peer import Envelope

DIGEST = 7


def make_instances(*names: str) -> list[tuple[str, str]]:
    """Return instances of the data centre of all targets."""
    return [(name, "a") for name in names]


class OwnerFixture:
    """Instance a, which owns all targets of a service."""

    def __init__(self, ready: tuple[str, ...] = ("a",)) -> None:
        self.clock = ManualClock()
        self.service = make_service(3)
        self.configuration = Configuration(
            version=1, services={"ordering": self.service}
        )
        self.owners = OwnershipTable()
        self.has_majority = True
        self.digest = DIGEST
        self.shares = ShareRights("a")
        self.plan = OwnedTargets(
            name="a",
            owners=self.owners,
            holds_majority=lambda: self.has_majority,
            read_digest=lambda: self.digest,
            shares=self.shares,
        )
        self.sources = EvidenceSources("a", self.owners, lambda target: "holder")
        self.target_tracker: TargetTracker = make_tracker(3)
        self.set_ready(ready)

    def set_ready(self, ready: tuple[str, ...]) -> None:
        """Take over a view."""
        self.owners.update(self.configuration.services, make_instances(*ready))
        self.plan.update(self.configuration, DIGEST)
        self.sources.update(self.configuration.services, make_instances(*ready))

    def make_requester(
        self,
        deliver: Callable[[str, Envelope], Awaitable[tuple[TargetNotice, ...]]],
        list_starved: Callable[[], list[str]],
    ) -> EvidenceRequester:
        """Return the requester of the instance."""
        return EvidenceRequester(
            "a",
            plan=self.plan,
            sources=self.sources,
            target_tracker=self.target_tracker,
            find_address=lambda name: name,
            deliver=deliver,
            list_starved=list_starved,
            on_response=lambda: None,
            clock=self.clock,
        )


class TestOwnedTargets:
    """Rights to probe."""

    def test_lease_of_another_view(self) -> None:
        """Guards against a lease used for owners of an earlier view or version."""
        fixture = OwnerFixture()
        assert fixture.plan.holds_lease("t0", 0)
        fixture.digest = DIGEST + 1
        assert not fixture.plan.holds_lease("t0", 0)

    def test_lost_lease(self) -> None:
        """Guards against a lease that is remembered beyond a tick or a view."""
        fixture = OwnerFixture()
        assert fixture.plan.holds_lease("t0", 0)
        fixture.has_majority = False
        assert not fixture.plan.holds_lease("t0", 1)
        fixture.has_majority = True
        assert fixture.plan.holds_lease("t0", 2)
        fixture.has_majority = False
        fixture.set_ready(("a",))
        assert not fixture.plan.holds_lease("t0", 2)

    def test_lease_is_checked_once_per_tick(self) -> None:
        """Guards against a check of all instances for each owned target and tick."""
        fixture = OwnerFixture()
        responses = iter([True, False])
        fixture.plan.holds_majority = lambda: next(responses)
        names = [target.name for target in fixture.plan.list_owned()]
        assert len(names) == 3
        assert all(fixture.plan.holds_lease(name, 1.0) for name in names)
        # A lease that ended is noticed at the next instant.
        assert not any(fixture.plan.holds_lease(name, 2.0) for name in names)
        assert not fixture.plan.holds_lease("unknown", 3.0)

    def test_share_of_a_replaced_instance(self) -> None:
        """Guards against two starts of one name that both hold its share rights."""
        fixture = OwnerFixture()
        fixture.shares.set_targets(["t0"], 0)
        for now in range(0, 61_000, 1000):
            fixture.shares.set_listed(["a"], now)
        assert fixture.plan.holds_share("t0", 60_000)
        fixture.digest = 0
        assert not fixture.plan.holds_share("t0", 60_000)


class TestEvidenceSources:
    """Whom to ask."""

    def test_after_a_change(self) -> None:
        """Guards against the previous owner, which leaves, not being asked."""
        fixture = OwnerFixture(("a", "b", "c"))
        before = assign_owners(fixture.service, make_instances("a", "b", "c")).targets[
            "t0"
        ]
        others = [name for name in ("b", "c") if name != before]
        fixture.set_ready(("a", *others))
        fixture.set_ready(("a",))
        previous = assign_owners(fixture.service, make_instances("a", *others)).targets[
            "t0"
        ]
        expected = [previous] if previous != "a" else [before]
        assert fixture.sources.find("t0") == [*expected, "holder"]

    def test_after_a_join(self) -> None:
        """Guards against a new owner that does not ask the one before."""
        fixture = OwnerFixture()
        fixture.set_ready(("a", "b"))
        owner = assign_owners(fixture.service, make_instances("a", "b")).targets["t0"]
        found = fixture.sources.find("t0")
        assert found == (["b", "holder"] if owner == "a" else ["holder"])


class TestEvidenceRequester:
    """Questions about owned targets."""

    @pytest.mark.parametrize("delay_ms", [0.0, 1000.0])
    def test_late_response(self, delay_ms: float) -> None:
        """Guards against a late answer that counts from its arrival."""
        fixture = OwnerFixture(("b",))
        fixture.set_ready(("a",))
        fixture.has_majority = False
        requested: list[tuple[str, ...]] = []

        async def deliver(_: str, envelope: Envelope) -> tuple[TargetNotice, ...]:
            requested.append(envelope.asked)
            fixture.clock.advance(delay_ms)
            notices = [
                TargetNotice(target=name, state=TargetState.READY, age_ms=300.0)
                for name in ("t0", "t9")
            ]
            return tuple(notices)

        async def run() -> None:
            fixture.make_requester(deliver, lambda: []).restart()
            await asyncio.sleep(0)

        fixture.clock.advance(10_000)
        asyncio.run(run())
        assert requested[0] == ("t0", "t1", "t2")
        age_ms = fixture.target_tracker.evidence_age("t0", fixture.clock.now)
        assert age_ms == 300.0 + delay_ms


class TestStarvedService:
    """Questions about targets of an owner that went silent."""

    def test_asks_for_all_targets(self) -> None:
        """Guards against requests that wait until a dead owner leaves the view."""
        fixture = OwnerFixture(("b",))
        starved: list[str] = []
        requested: list[str] = []

        async def deliver(address: str, envelope: Envelope) -> tuple[TargetNotice, ...]:
            requested.append(f"{address} {' '.join(envelope.asked)}")
            return ()

        async def run() -> None:
            requester = fixture.make_requester(deliver, lambda: starved)
            requester.restart()
            starved.append("ordering")
            requester.restart()
            await asyncio.sleep(0)

        fixture.clock.advance(10_000)
        asyncio.run(run())
        assert requested == ["b t0 t1 t2", "holder t0 t1 t2"]
        # The instance may hold the share right of the targets itself.
        assert fixture.plan.is_requested("t1", fixture.clock.now)


class TestListServicesWithoutEvidence:
    """Evidence that readiness waits for."""

    def test_one_of_each_service(self) -> None:
        """Guards against an instance that is ready without any evidence."""
        fixture = OwnerFixture()
        assert list_services_without_evidence(
            fixture.plan, fixture.target_tracker, 100
        ) == ["ordering"]
        fixture.target_tracker.observe("t1", make_observation(sent=90), 100)
        assert (
            list_services_without_evidence(fixture.plan, fixture.target_tracker, 100)
            == []
        )
        fixture.set_ready(("b",))
        assert (
            list_services_without_evidence(fixture.plan, fixture.target_tracker, 9000)
            == []
        )
