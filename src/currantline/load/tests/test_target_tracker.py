"""Tests of the target tracker."""

import random
from collections.abc import Callable

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from currantline.configuration import Service, Target
from currantline.load import (
    LoadReport,
    Observation,
    Signal,
    TargetNotice,
    TargetState,
    TargetTracker,
)

STATES = {state.value: state for state in TargetState}
DRAINING = TargetState.DRAINING
DRAIN_GRACE_MS = 3000.0


def make_service(count: int = 4, slots: int = 2) -> Service:
    """Return a service with targets t0, t1 and so on."""
    targets = tuple(
        Target(
            name=f"t{i}", address=f"127.0.0.1:{7000 + i}", data_centre="a", slots=slots
        )
        for i in range(count)
    )
    return Service(name="ordering", targets=targets)


def make_tracker(count: int = 4, slots: int = 2) -> TargetTracker:
    """Return a tracker with one service."""
    tracker = TargetTracker(random.Random(1))
    tracker.set_services([make_service(count, slots)])
    return tracker


def make_observation(
    signal: Signal = Signal.ANSWERED,
    *,
    sent: float,
    state: str = "ready",
    duration_ms: float | None = None,
) -> Observation:
    """Return an observation with a load report."""
    report = LoadReport(in_flight=0, slots=2, state=STATES[state])
    return Observation(signal=signal, sent=sent, report=report, duration_ms=duration_ms)


def feed(
    tracker: TargetTracker,
    target: str,
    count: int,
    *,
    start: float = 0.0,
    signal: Signal = Signal.ANSWERED,
    duration_ms: float = 8.0,
) -> list[int]:
    """Observe one request every 10 ms and return the limit after each."""
    limits = []
    for i in range(count):
        sent = start + 10 * i
        now = sent + min(duration_ms, 9.0)
        observation = make_observation(signal, sent=sent, duration_ms=duration_ms)
        tracker.observe(target, observation, now)
        limits.append(tracker.limit(target, now))
    return limits


class TestDrain:
    """Start and end of a drain."""

    @pytest.fixture
    def tracker(self) -> TargetTracker:
        """Return a tracker with a target whose drain was received at 100 ms."""
        tracker = make_tracker(1)
        tracker.observe("t0", make_observation(sent=0, state="ready"), 10)
        tracker.observe("t0", make_observation(sent=50, state="draining"), 100)
        return tracker

    def test_late_response(self, tracker: TargetTracker) -> None:
        """Guards against a request sent before the drain was received ending it."""
        tracker.observe("t0", make_observation(sent=99), 300)
        assert tracker.limit("t0", 300) == 0

    def test_later_request(self, tracker: TargetTracker) -> None:
        """Guards against a drain that never ends."""
        tracker.observe("t0", make_observation(sent=101), 110)
        assert tracker.limit("t0", 110) == 1

    def test_list(self, tracker: TargetTracker) -> None:
        """Guards against a stale health endpoint that overrides the list."""
        tracker.set_listed(live=(), leaving=["t0"], now=200)
        tracker.observe("t0", make_observation(sent=300), 310)
        assert tracker.limit("t0", 310) == 0
        tracker.set_listed(live=["t0"], leaving=(), now=400)
        assert tracker.limit("t0", 400) == 1

    def test_pause(self, tracker: TargetTracker) -> None:
        """Guards against a resumed process that discards drains."""
        tracker.reset()
        tracker.observe("t0", make_observation(sent=99), 120)
        assert tracker.limit("t0", 120) == 0

    def test_unsolicited_notice(self) -> None:
        """Guards against a buffered notice that is taken for fresh evidence."""
        tracker = make_tracker(1)
        notice = TargetNotice(target="t0", state=TargetState.READY, age_ms=0)
        tracker.merge_notice(notice, 9000)
        assert tracker.limit("t0", 9000) == 0
        tracker.merge_notice(notice, 9000, requested_at=6000)
        assert tracker.limit("t0", 9000) == 0
        tracker.merge_notice(notice, 9000, requested_at=7000)
        assert tracker.limit("t0", 9000) == 1

    def test_old_drain_notice(self) -> None:
        """Guards against a peer that repeats a drain after its end."""
        tracker = make_tracker(1)
        tracker.observe("t0", make_observation(sent=5000), 5010)
        drain = TargetNotice(target="t0", state=TargetState.DRAINING, age_ms=2000)
        tracker.merge_notice(drain, 5020)
        assert tracker.limit("t0", 5020) == 1
        tracker.merge_notice(attrs.evolve(drain, age_ms=10), 5020)
        assert tracker.limit("t0", 5020) == 0
        assert tracker.notices(5020)[0].state is TargetState.READY


class TestLimit:
    """Number of slots that may be used."""

    def test_slow_start(self) -> None:
        """Guards against full load on a cold target, and a limit that stays low."""
        limits = feed(make_tracker(slots=3), "t0", 20)
        assert limits[:7] == [1] * 7
        assert limits[-1] == 3

    def test_late_starting_report(self) -> None:
        """Guards against a late starting report that restarts the slow start."""
        tracker = make_tracker()
        feed(tracker, "t0", 20)
        tracker.observe("t0", make_observation(sent=0, state="starting"), 200)
        assert tracker.limit("t0", 200) == 2
        tracker.observe("t0", make_observation(sent=201, state="starting"), 210)
        assert tracker.limit("t0", 210) == 1

    def test_fast_failures(self) -> None:
        """Guards against a target that rejects immediately and therefore looks idle."""
        for signal in (Signal.SHED, Signal.FAILED):
            tracker = make_tracker()
            feed(tracker, "t0", 20)
            limits = feed(tracker, "t0", 5, start=200, signal=signal, duration_ms=0.1)
            assert limits[0] == 1
            assert limits[-1] == 0

    def test_probe_does_not_close(self) -> None:
        """Guards against a healthy health endpoint that overrides failed requests."""
        tracker = make_tracker()
        feed(tracker, "t0", 5, signal=Signal.FAILED)
        tracker.observe("t0", make_observation(Signal.PROBED, sent=60), 61)
        assert tracker.limit("t0", 61) == 0
        tracker.observe("t0", make_observation(Signal.PROBED, sent=1000), 1001)
        assert tracker.describe(1001)[0].circuit == "half-open"

    def test_backoff(self) -> None:
        """Guards against trials at a constant rate, and closing on earlier requests."""
        tracker = make_tracker()
        feed(tracker, "t0", 5, signal=Signal.FAILED)
        backoffs = []
        now = 50.0
        for _ in range(4):
            opened = now
            while not tracker.limit("t0", now):
                now += 10
                tracker.observe("t0", make_observation(Signal.PROBED, sent=now), now)
            backoffs.append(now - opened)
            tracker.observe("t0", make_observation(sent=0), now)
            assert tracker.describe(now)[0].circuit == "half-open"
            tracker.observe("t0", make_observation(Signal.FAILED, sent=now), now)
        assert 250 <= backoffs[0] <= 510
        assert backoffs[3] >= 2000
        while not tracker.limit("t0", now):
            now += 10
            tracker.observe("t0", make_observation(Signal.PROBED, sent=now), now)
        assert feed(tracker, "t0", 20, start=now)[-1] == 2

    def test_common_fault(self) -> None:
        """Guards against a failing route that opens the circuits of all targets."""
        tracker = make_tracker(4)
        limits = [feed(tracker, f"t{i}", 8, signal=Signal.FAILED)[-1] for i in range(4)]
        assert limits == [0, 0, 1, 1]

    def test_slow_target(self) -> None:
        """Guards against full load on a slow target, and a limit that stays low."""
        tracker = make_tracker()
        for name in ("t1", "t2", "t3"):
            feed(tracker, name, 20)
        assert feed(tracker, "t0", 40, duration_ms=80)[-1] == 1
        assert feed(tracker, "t0", 40, start=400)[-1] == 2

    def test_hysteresis(self) -> None:
        """Guards against a limit that changes with small variations in duration."""
        tracker = make_tracker()
        for name in ("t1", "t2", "t3"):
            feed(tracker, name, 20)
        feed(tracker, "t0", 20)
        factors = (2.2, 2.8, 2.5, 2.9, 2.1) * 20
        limits = [
            feed(tracker, "t0", 1, start=200 + 10 * i, duration_ms=8 * factor)[0]
            for i, factor in enumerate(factors)
        ]
        assert set(limits) == {2}

    def test_shared_target(self) -> None:
        """Guards against repeated raises of the limit that each cause shed requests."""
        tracker = make_tracker()
        shed_count = 0
        for i in range(1000):
            full = tracker.limit("t0", 10.0 * i) == 2
            shed_count += full
            signal = Signal.SHED if full else Signal.ANSWERED
            feed(tracker, "t0", 1, start=10.0 * i, signal=signal)
        assert 0 < shed_count <= 10

    def test_false_report(self) -> None:
        """Guards against a limit that depends on an incorrect load report."""
        tracker = make_tracker()
        feed(tracker, "t0", 20)
        report = LoadReport(in_flight=999, slots=0, state=TargetState.READY)
        observation = Observation(signal=Signal.ANSWERED, sent=300, report=report)
        tracker.observe("t0", observation, 301)
        assert tracker.limit("t0", 301) == 2


@settings(derandomize=True, max_examples=200, stateful_step_count=30, deadline=None)
class DrainMachine(RuleBasedStateMachine):
    """One target, two instances; messages are delayed, reordered and duplicated."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 2.0
        self.state = "ready"
        self.drains_since: float | None = None
        self.trackers = (make_tracker(1), make_tracker(1))
        # A short drain has ended; its responses and a notice are still in flight.
        self.responses = [
            make_observation(sent=0.0),
            make_observation(sent=0.0, state="draining"),
            make_observation(sent=1.0),
        ]
        notice = TargetNotice(target="t0", state=TargetState.READY, age_ms=1.0)
        self.notices = [(2.0, 2.0, notice)]
        # What was delivered to each instance, with the actual times.
        self.drain_received = [-1.0, -1.0]
        self.ready_sent = [-1.0, -1.0]

    @rule(ms=st.sampled_from([1.0, 100.0, 1100.0, 2600.0]))
    def wait(self, ms: float) -> None:
        """Let time pass."""
        self.now += ms

    @rule(state=st.sampled_from(["draining", "draining", "ready", "starting"]))
    def change(self, state: str) -> None:
        """Change the state of the target."""
        if state != "draining":
            self.drains_since = None
        elif self.state != "draining":
            self.drains_since = self.now
        self.state = state

    @rule(signal=st.sampled_from([Signal.ANSWERED, Signal.SHED, Signal.PROBED]))
    def send_request(self, signal: Signal) -> None:
        """Send a request, whose response is then in flight."""
        self.responses.append(make_observation(signal, sent=self.now, state=self.state))

    @rule(data=st.data(), side=st.integers(0, 1), ms=st.sampled_from([0.0, 3100.0]))
    def deliver(self, data: st.DataObject, side: int, ms: float) -> None:
        """Deliver the last responses in any order, possibly late or repeatedly."""
        self.now += ms
        for response in data.draw(st.permutations(self.responses[-4:])):
            self.trackers[side].observe("t0", response, self.now)
            assert response.report is not None
            self._record_delivery(side, response.report.state, response.sent)
            self.no_work_after_grace()
            self.no_late_return()

    @rule(side=st.integers(0, 1), ms=st.sampled_from([0.0, 300.0, 2000.0]))
    def make_notices(self, side: int, ms: float) -> None:
        """Request notices from an instance, which creates them some time later."""
        requested_at = self.now
        self.now += ms
        created = self.trackers[side].notices(self.now)
        self.notices += [(requested_at, self.now, notice) for notice in created]

    @rule(data=st.data(), ms=st.sampled_from([0.0, 3100.0]), solicited=st.booleans())
    def merge(self, data: st.DataObject, ms: float, solicited: bool) -> None:
        """Deliver any notice to an instance, possibly late or repeatedly."""
        if not self.notices:
            return
        self.now += ms
        side = data.draw(st.integers(0, 1))
        requested_at, created, notice = data.draw(st.sampled_from(self.notices))
        self.trackers[side].merge_notice(
            notice, self.now, requested_at=requested_at if solicited else None
        )
        self._record_delivery(
            side, notice.state, created - notice.age_ms, created - notice.age_ms
        )

    @rule(side=st.integers(0, 1))
    def pause(self, side: int) -> None:
        """Resume a paused process."""
        self.now += 1500
        self.trackers[side].reset()

    @rule(side=st.integers(0, 1))
    def read_stale_list(self, side: int) -> None:
        """Read a stale list that names the target as leaving and then as live."""
        self.trackers[side].set_listed(live=[], leaving=["t0"], now=self.now)
        assert self.trackers[side].limit("t0", self.now) == 0
        self.trackers[side].set_listed(live=["t0"], leaving=[], now=self.now)
        self.drain_received[side] = -1.0

    def _record_delivery(
        self, side: int, state: TargetState, sent: float, received: float | None = None
    ) -> None:
        received = self.now if received is None else received
        if state is TargetState.DRAINING:
            self.drain_received[side] = max(self.drain_received[side], received)
        elif state is TargetState.READY:
            self.ready_sent[side] = max(self.ready_sent[side], sent)

    @invariant()
    def usable_targets_are_fresh(self) -> None:
        """Guards against a usable target that is skipped when limits are refreshed."""
        for tracker in self.trackers:
            if tracker.limit("t0", self.now):
                assert tracker.list_fresh(self.now) == {"t0"}

    @invariant()
    def drains_are_the_draining_notices(self) -> None:
        """Guards against a tracked drain that is not sent to peers."""
        for tracker in self.trackers:
            notices = {n for n in tracker.notices(self.now) if n.state is DRAINING}
            assert set(tracker.drain_notices(self.now)) == notices

    @invariant()
    def no_work_after_grace(self) -> None:
        """Guards against new work 3 s after a target started to drain."""
        began = self.drains_since
        if began is not None and self.now > began + DRAIN_GRACE_MS:
            assert [tracker.limit("t0", self.now) for tracker in self.trackers] == [
                0,
                0,
            ]

    @invariant()
    def no_late_return(self) -> None:
        """Guards against observations older than a known drain ending it."""
        for tracker, received, ready in zip(
            self.trackers, self.drain_received, self.ready_sent, strict=True
        ):
            if received >= 0 and ready <= received:
                assert tracker.limit("t0", self.now) == 0


class TestDrainMachine(DrainMachine.TestCase):  # type: ignore[misc, valid-type]
    """Guarantee 5 with delayed, reordered and duplicated messages."""


class TestDrainChanges:
    """Counter of changes in the locally observed drains."""

    def test_every_begin_and_end_of_a_drain_counts(self) -> None:
        """Guards against a second drain of a target that is not sent at once."""
        tracker = make_tracker()
        counts = []
        for sent, state in enumerate(("ready", "draining", "ready", "draining")):
            tracker.observe("t0", make_observation(sent=sent, state=state), sent)
            counts.append(tracker.drain_changes)
        assert counts == [counts[0] + number for number in range(4)]

    @pytest.mark.parametrize(
        "change",
        [
            lambda tracker: tracker.set_listed(live=[], leaving=["t1"], now=2.0),
            lambda tracker: tracker.set_listed(live=["t0"], leaving=[], now=2.0),
            lambda tracker: tracker.set_services([make_service(1)]),
            lambda tracker: tracker.reset(),
        ],
    )
    def test_a_change_without_an_attempt_counts(
        self, change: Callable[[TargetTracker], None]
    ) -> None:
        """Guards against a drain known only from the list that is not sent."""
        tracker = make_tracker()
        tracker.set_listed(live=[], leaving=["t0"], now=1.0)
        before = tracker.drain_changes
        change(tracker)
        assert tracker.drain_changes > before

    def test_responses_without_a_drain_do_not_count(self) -> None:
        """Guards against listing the notices of all targets after each attempt."""
        tracker = make_tracker()
        before = tracker.drain_changes
        for sent, state in enumerate(("starting", "ready", "ready")):
            tracker.observe("t0", make_observation(sent=sent, state=state), sent)
        assert tracker.drain_changes == before
