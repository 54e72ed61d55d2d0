"""Tests of the rights to probe and of whom to ask for evidence."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from currantline.clock import ManualClock
from currantline.configuration import Configuration
from currantline.control import (
    EvidenceAsker,
    EvidenceSources,
    OwnedTargets,
    find_missing,
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


def place(*names: str) -> list[tuple[str, str]]:
    """Return instances of the data centre of all targets."""
    return [(name, "a") for name in names]


class Bench:
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
        self.owners.update(self.configuration.services, place(*ready))
        self.plan.update(self.configuration, DIGEST)
        self.sources.update(self.configuration.services, place(*ready))

    def make_asker(
        self,
        deliver: Callable[[str, Envelope], Awaitable[tuple[TargetNotice, ...]]],
        list_starved: Callable[[], list[str]],
    ) -> EvidenceAsker:
        """Return the asker of the instance."""
        return EvidenceAsker(
            "a",
            plan=self.plan,
            sources=self.sources,
            target_tracker=self.target_tracker,
            find_address=lambda name: name,
            deliver=deliver,
            list_starved=list_starved,
            on_answer=lambda: None,
            clock=self.clock,
        )


class TestOwnedTargets:
    """Rights to probe."""

    def test_lease_of_another_view(self) -> None:
        """Guards against a lease used for owners of an earlier view or version."""
        bench = Bench()
        assert bench.plan.holds_lease("t0", 0)
        bench.digest = DIGEST + 1
        assert not bench.plan.holds_lease("t0", 0)

    def test_lost_lease(self) -> None:
        """Guards against a lease that is remembered beyond a tick or a view."""
        bench = Bench()
        assert bench.plan.holds_lease("t0", 0)
        bench.has_majority = False
        assert not bench.plan.holds_lease("t0", 1)
        bench.has_majority = True
        assert bench.plan.holds_lease("t0", 2)
        bench.has_majority = False
        bench.set_ready(("a",))
        assert not bench.plan.holds_lease("t0", 2)

    def test_one_check_of_the_lease_serves_one_instant(self) -> None:
        """Guards against a check of all instances for each owned target and tick."""
        bench = Bench()
        answers = iter([True, False])
        bench.plan.holds_majority = lambda: next(answers)
        names = [target.name for target in bench.plan.list_owned()]
        assert len(names) == 3
        assert all(bench.plan.holds_lease(name, 1.0) for name in names)
        # A lease that ended is noticed at the next instant.
        assert not any(bench.plan.holds_lease(name, 2.0) for name in names)
        assert not bench.plan.holds_lease("unknown", 3.0)

    def test_share_of_a_replaced_instance(self) -> None:
        """Guards against two starts of one name that both hold its share rights."""
        bench = Bench()
        bench.shares.set_targets(["t0"], 0)
        for now in range(0, 61_000, 1000):
            bench.shares.set_listed(["a"], now)
        assert bench.plan.holds_share("t0", 60_000)
        bench.digest = 0
        assert not bench.plan.holds_share("t0", 60_000)


class TestEvidenceSources:
    """Whom to ask."""

    def test_after_a_change(self) -> None:
        """Guards against the previous owner, which leaves, not being asked."""
        bench = Bench(("a", "b", "c"))
        before = assign_owners(bench.service, place("a", "b", "c")).targets["t0"]
        others = [name for name in ("b", "c") if name != before]
        bench.set_ready(("a", *others))
        bench.set_ready(("a",))
        previous = assign_owners(bench.service, place("a", *others)).targets["t0"]
        expected = [previous] if previous != "a" else [before]
        assert bench.sources.find("t0") == [*expected, "holder"]

    def test_after_a_join(self) -> None:
        """Guards against a new owner that does not ask the one before."""
        bench = Bench()
        bench.set_ready(("a", "b"))
        owner = assign_owners(bench.service, place("a", "b")).targets["t0"]
        found = bench.sources.find("t0")
        assert found == (["b", "holder"] if owner == "a" else ["holder"])


class TestEvidenceAsker:
    """Questions about owned targets."""

    @pytest.mark.parametrize("delay_ms", [0.0, 1000.0])
    def test_late_answer(self, delay_ms: float) -> None:
        """Guards against a late answer that counts from its arrival."""
        bench = Bench(("b",))
        bench.set_ready(("a",))
        bench.has_majority = False
        asked: list[tuple[str, ...]] = []

        async def deliver(_: str, envelope: Envelope) -> tuple[TargetNotice, ...]:
            asked.append(envelope.asked)
            bench.clock.advance(delay_ms)
            notices = [
                TargetNotice(target=name, state=TargetState.READY, age_ms=300.0)
                for name in ("t0", "t9")
            ]
            return tuple(notices)

        async def run() -> None:
            bench.make_asker(deliver, lambda: []).restart()
            await asyncio.sleep(0)

        bench.clock.advance(10_000)
        asyncio.run(run())
        assert asked[0] == ("t0", "t1", "t2")
        age_ms = bench.target_tracker.evidence_age("t0", bench.clock.now)
        assert age_ms == 300.0 + delay_ms


class TestStranded:
    """Questions about targets of an owner that went silent."""

    def test_asks_for_all_targets(self) -> None:
        """Guards against requests that wait until a dead owner leaves the view."""
        bench = Bench(("b",))
        stranded: list[str] = []
        asked: list[str] = []

        async def deliver(address: str, envelope: Envelope) -> tuple[TargetNotice, ...]:
            asked.append(f"{address} {' '.join(envelope.asked)}")
            return ()

        async def run() -> None:
            asker = bench.make_asker(deliver, lambda: stranded)
            asker.restart()
            stranded.append("ordering")
            asker.restart()
            await asyncio.sleep(0)

        bench.clock.advance(10_000)
        asyncio.run(run())
        assert asked == ["b t0 t1 t2", "holder t0 t1 t2"]
        # The instance may hold the share right of the targets itself.
        assert bench.plan.is_requested("t1", bench.clock.now)


class TestFindMissing:
    """Evidence that readiness waits for."""

    def test_one_of_each_service(self) -> None:
        """Guards against an instance that is ready without any evidence."""
        bench = Bench()
        assert find_missing(bench.plan, bench.target_tracker, 100) == ["ordering"]
        bench.target_tracker.observe("t1", make_observation(sent=90), 100)
        assert find_missing(bench.plan, bench.target_tracker, 100) == []
        bench.set_ready(("b",))
        assert find_missing(bench.plan, bench.target_tracker, 9000) == []
