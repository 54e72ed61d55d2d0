"""Tests of the limits that are passed on to dispatch."""

import asyncio
import random

import pytest

from currantline.clock import ManualClock
from currantline.configuration import Service, Target
from currantline.control import LimitUpdater
from currantline.load import (
    LoadReport,
    Observation,
    Signal,
    TargetNotice,
    TargetState,
    TargetTracker,
)

TARGETS = tuple(
    Target(name=f"t{number}", address="127.0.0.1:7000", data_centre="n", slots=2)
    for number in range(5)
)


class TestLimitUpdater:
    """Limits that change without an attempt of this instance."""

    def setup_method(self) -> None:
        """Build an updater and hear of one target by a probe."""
        self.clock = ManualClock()
        self.target_tracker = TargetTracker(random.Random(1))
        self.target_tracker.set_services([Service(name="s", targets=TARGETS)])
        self.limits: dict[str, int] = {}
        self.loans: dict[str, bool] = {}
        self.updater = LimitUpdater(
            self.target_tracker,
            clock=self.clock,
            set_limit=self.set_limit,
            on_drain=lambda: None,
        )
        self.updater.set_targets([target.name for target in TARGETS])
        report = LoadReport(in_flight=0, slots=2, state=TargetState.READY)
        probe = Observation(signal=Signal.PROBED, sent=0.0, report=report)
        self.target_tracker.observe("t3", probe, 0.0)
        self.updater.refresh()

    def set_limit(self, target: str, slots: int, *, accepts_loans: bool) -> None:
        """Note a limit."""
        self.limits[target] = slots
        self.loans[target] = accepts_loans

    def test_probe_and_end_of_evidence(self) -> None:
        """Guards against targets in use without evidence, or evidence without use."""
        assert self.limits.keys() == {"t3"}
        assert self.limits["t3"] > 0
        self.clock.advance(2501.0)
        self.updater.refresh()
        assert self.limits == {"t3": 0}

    def test_drain_reported_by_peer(self) -> None:
        """Guards against new work for a target that a peer knows to drain."""
        notice = TargetNotice(target="t3", state=TargetState.DRAINING, age_ms=0.0)
        self.target_tracker.merge_notice(notice, self.clock.now)
        self.updater.refresh()
        assert self.limits == {"t3": 0}

    def test_loans_of_targets_without_evidence(self) -> None:
        """Guards against loans declined for want of evidence, or used on a drain."""
        notice = TargetNotice(target="t1", state=TargetState.DRAINING, age_ms=0.0)
        self.target_tracker.merge_notice(notice, self.clock.now)
        self.updater.refresh()
        assert self.loans == {"t3": True, "t1": False}
        self.clock.advance(2501.0)
        self.updater.refresh()
        assert self.loans == {"t3": True, "t1": False}
        self.target_tracker.set_listed(live=[], leaving=["t2"], now=self.clock.now)
        self.updater.refresh()
        assert self.loans == {"t3": True, "t1": False, "t2": False}

    def test_targets_are_replaced(self) -> None:
        """Guards against a failure over the name of a target that was removed."""
        self.target_tracker.set_services([Service(name="s", targets=TARGETS[:2])])
        self.updater.set_targets(["t0", "t1"])
        self.updater.refresh()
        assert self.target_tracker.list_fresh(self.clock.now) == set()

    def test_refreshes_all_targets_in_steps(self) -> None:
        """Guards against a target left out, or requests that wait for all looks."""
        names = [f"t{number}" for number in range(1001)]
        targets = [
            Target(name=name, address="127.0.0.1:1", data_centre="a", slots=2)
            for name in names
        ]
        report = LoadReport(in_flight=0, slots=2, state=TargetState.READY)
        target_tracker = TargetTracker(random.Random(1))
        target_tracker.set_services([Service(name="s", targets=tuple(targets))])
        for name in names:
            probed = Observation(signal=Signal.PROBED, sent=0.0, report=report)
            target_tracker.observe(name, probed, 0.0)
        steps: list[list[str]] = [[]]
        pauses_s: list[float] = []

        async def sleep(pause_s: float) -> None:
            pauses_s.append(pause_s)
            if sum(pauses_s) >= 0.05 - 1e-9:
                raise asyncio.CancelledError
            steps.append([])

        updater = LimitUpdater(
            target_tracker,
            clock=ManualClock(),
            set_limit=lambda target, slots, accepts_loans: steps[-1].append(target),
            on_drain=lambda: None,
            sleep=sleep,
        )
        updater.set_targets(names)
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(updater.run())
        assert sorted(name for step in steps for name in step) == sorted(names)
        assert max(len(step) for step in steps) <= 200
