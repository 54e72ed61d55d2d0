"""Tests of several dispatchers under faults of messages and instances."""

import random

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from currantline.admission import Work
from currantline.configuration import Priority, Service, Target
from currantline.directory import Ownership, assign_owners
from currantline.dispatch import (
    Demand,
    Dispatcher,
    DispatchOptions,
    Effect,
    Lend,
    Message,
    Refuse,
    Return,
    Send,
    Start,
    Usage,
)
from currantline.exceptions import InvariantError
from currantline.forwarding import AttemptResult

NAMES = ("a", "b", "c")
SLOTS = 2
TARGETS = tuple(
    Target(name=f"t{i}", address="127.0.0.1:7000", data_centre="n", slots=SLOTS)
    for i in range(3)
)
SERVICE = Service(name="s", targets=TARGETS, slots_per_owner=4, queue_limit=20)
OWNED_BY_A = Ownership(owners=("a",), targets={t.name: "a" for t in TARGETS})
LEASE_MS = DispatchOptions().lease_ms


def make_work(
    name: str,
    now: float,
    *,
    timeout_ms: float = 1000.0,
    priority: Priority = Priority.INTERACTIVE,
) -> Work:
    """Return a request."""
    return Work(
        request_id=name,
        service="s",
        route=priority.value,
        priority=priority,
        deadline=now + timeout_ms,
        arrived=now,
    )


def make_dispatcher(name: str, ownership: Ownership = OWNED_BY_A) -> Dispatcher:
    """Return a dispatcher that may use all slots."""
    dispatcher = Dispatcher(name, random.Random(name))
    dispatcher.set_service(SERVICE)
    dispatcher.set_ownership("s", ownership, 0.0)
    for target in TARGETS:
        dispatcher.set_limit(target.name, SLOTS, 0.0)
    return dispatcher


def starts(effects: list[Effect]) -> list[str]:
    """Return the requests that were started."""
    return [e.request_id for e in effects if isinstance(e, Start)]


def messages(effects: list[Effect]) -> list[Message]:
    """Return the messages that were sent."""
    return [e.message for e in effects if isinstance(e, Send)]


class FleetMachine(RuleBasedStateMachine):
    """Dispatchers whose messages are lost, late, repeated and reordered."""

    @initialize()
    def begin(self) -> None:
        """Start all instances with the same owners."""
        self.now = 0.0
        self.count = 0
        self.fleet = {
            name: make_dispatcher(name, assign_owners(SERVICE, NAMES)) for name in NAMES
        }
        self.mail: list[tuple[str, str, Message]] = []
        self.deadlines: dict[str, float] = {}
        self.waiting: dict[str, str] = {}
        self.running: dict[str, str] = {}

    def carry_out(self, name: str, effects: list[Effect]) -> None:
        """Check the ends of requests and post the messages."""
        for effect in effects:
            if isinstance(effect, Send):
                assert effect.instance != name
                self.mail.append((name, effect.instance, effect.message))
                continue
            assert self.waiting.pop(effect.request_id) == name
            if isinstance(effect, Start):
                assert self.now < self.deadlines[effect.request_id]
                self.running[effect.request_id] = name

    @rule(
        name=st.sampled_from(NAMES),
        timeout_ms=st.sampled_from([20.0, 300.0]),
        priority=st.sampled_from(list(Priority)),
        count=st.integers(1, 6),
    )
    def submit(
        self, name: str, timeout_ms: float, priority: Priority, count: int
    ) -> None:
        """Submit requests to an instance."""
        for _ in range(count):
            self.count += 1
            request_id = str(self.count)
            work = make_work(
                request_id, self.now, timeout_ms=timeout_ms, priority=priority
            )
            self.deadlines[request_id] = work.deadline
            self.waiting[request_id] = name
            self.carry_out(name, self.fleet[name].submit(work, self.now))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), result=st.sampled_from(list(AttemptResult)))
    def finish(self, data: st.DataObject, result: AttemptResult) -> None:
        """End a request that runs."""
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        name = self.running.pop(request_id)
        self.carry_out(name, self.fleet[name].finish(request_id, result, self.now))

    @precondition(lambda self: self.running or self.waiting)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancel for a caller that has gone."""
        present = {**self.running, **self.waiting}
        request_id = data.draw(st.sampled_from(sorted(present)))
        self.running.pop(request_id, None)
        self.waiting.pop(request_id, None)
        name = present[request_id]
        self.carry_out(name, self.fleet[name].cancel(request_id, self.now))

    @precondition(lambda self: self.mail)
    @rule(data=st.data(), fate=st.sampled_from(["once", "once", "twice", "lost"]))
    def deliver(self, data: st.DataObject, fate: str) -> None:
        """Any message in transit arrives, is repeated or is lost."""
        index = data.draw(st.integers(0, len(self.mail) - 1))
        sender, name, message = self.mail[index]
        if fate != "twice":
            del self.mail[index]
        if fate != "lost":
            effects = self.fleet[name].receive(sender, message, self.now)
            self.carry_out(name, effects)

    @rule(
        duration_ms=st.sampled_from([1.0, 10.0, 60.0, 400.0]),
        awake=st.sets(st.sampled_from(NAMES)),
    )
    def wait(self, duration_ms: float, awake: set[str]) -> None:
        """Time passes; instances that are paused see it later."""
        self.now += duration_ms
        for name in sorted(awake):
            self.carry_out(name, self.fleet[name].tick(self.now))

    @rule(name=st.sampled_from(NAMES), live=st.sets(st.sampled_from(NAMES)))
    def change_view(self, name: str, live: set[str]) -> None:
        """One instance sees other owners than the rest."""
        ownership = assign_owners(SERVICE, live)
        effects = self.fleet[name].set_ownership("s", ownership, self.now)
        self.carry_out(name, effects)

    @rule(
        name=st.sampled_from(NAMES),
        place=st.sampled_from(TARGETS),
        slots=st.integers(0, SLOTS),
    )
    def change_limit(self, name: str, place: Target, slots: int) -> None:
        """Change a limit as when a target drains, slows down or recovers."""
        effects = self.fleet[name].set_limit(place.name, slots, self.now)
        self.carry_out(name, effects)

    @rule(name=st.sampled_from(NAMES))
    def resume(self, name: str) -> None:
        """Reset an instance as after a pause."""
        self.carry_out(name, self.fleet[name].reset(self.now))

    def end_all(self) -> None:
        """End all requests that run, and those that start on their slots."""
        while self.running:
            request_id, name = self.running.popitem()
            result = AttemptResult.TIMED_OUT
            self.carry_out(name, self.fleet[name].finish(request_id, result, self.now))

    @invariant()
    def counts_agree(self) -> None:
        """Slots in use are those of the running requests."""
        for name, dispatcher in self.fleet.items():
            dispatcher.check()
            counts = dispatcher.counts(self.now)["s"]
            mine = [r for r, owner in self.running.items() if owner == name]
            assert counts.running == len(mine)

    def teardown(self) -> None:
        """Let all requests and leases end and expect every slot back."""
        if not hasattr(self, "fleet"):
            return
        self.end_all()
        self.now += 500.0
        for name, dispatcher in self.fleet.items():
            self.carry_out(name, dispatcher.tick(self.now))
        self.end_all()
        assert not self.waiting
        self.now += 20 * LEASE_MS
        ownership = assign_owners(SERVICE, NAMES)
        free = 0
        for dispatcher in self.fleet.values():
            dispatcher.set_ownership("s", ownership, self.now)
            for target in TARGETS:
                dispatcher.set_limit(target.name, SLOTS, self.now)
            counts = dispatcher.counts(self.now)["s"]
            assert counts.lent_slots == counts.borrowed_slots == 0
            free += counts.free_slots
        assert free == SLOTS * len(TARGETS)


class TestFleet:
    """Several dispatchers under faults."""

    def test_any_order_of_events(self) -> None:
        """Guards against slots lost or used twice and requests without an end."""
        run_state_machine_as_test(
            FleetMachine,
            settings=settings(
                derandomize=True,
                max_examples=150,
                stateful_step_count=40,
                deadline=None,
            ),
        )


class TestLending:
    """Loans between an owner and an instance that owns nothing."""

    def test_loan_and_return(self) -> None:
        """Guards against a borrower that waits, or keeps a slot it does not use."""
        owner, other = make_dispatcher("a"), make_dispatcher("b")
        demand = messages(other.submit(make_work("1", 0.0), 0.0))
        assert [type(m) for m in demand] == [Demand]
        lends = messages(owner.receive("b", demand[0], 1.5))
        assert [type(m) for m in lends] == [Lend]
        assert starts(other.receive("a", lends[0], 3.0)) == ["1"]
        assert starts(other.receive("a", lends[0], 3.5)) == []
        ended = messages(other.finish("1", AttemptResult.ANSWERED, 9.0))
        assert [type(m) for m in ended] == [Return]
        owner.receive("b", ended[0], 10.5)
        assert owner.counts(10.5)["s"].free_slots == 6
        assert starts(other.receive("a", lends[0], 12.0)) == []

    def test_loan_of_leaving_target(self) -> None:
        """Guards against new work on a target that the borrower knows to leave."""
        owner, other = make_dispatcher("a"), make_dispatcher("b")
        demand = messages(other.submit(make_work("1", 0.0), 0.0))[0]
        lend = messages(owner.receive("b", demand, 1.0))[0]
        assert isinstance(lend, Lend)
        other.set_limit(lend.target, 0, 2.0)
        effects = other.receive("a", lend, 3.0)
        assert starts(effects) == []
        assert Send("a", Return(loan_id=lend.loan_id)) in effects

    def test_lost_return(self) -> None:
        """Guards against a slot that stays idle after a message was lost."""
        owner = make_dispatcher("a")
        demand = messages(make_dispatcher("b").submit(make_work("1", 0.0), 0.0))
        owner.receive("b", demand[0], 1.0)
        assert owner.counts(1.0)["s"].free_slots == 5
        assert owner.next_due(1.0) <= 1.0 + LEASE_MS
        owner.tick(1.0 + LEASE_MS)
        assert owner.counts(1.0 + LEASE_MS)["s"].free_slots == 6

    def test_running_request_keeps_loan(self) -> None:
        """Guards against a slot given out twice while a long request runs."""
        owner, other = make_dispatcher("a"), make_dispatcher("b")
        demand = messages(other.submit(make_work("1", 0.0), 0.0))
        lend = messages(owner.receive("b", demand[0], 0.0))[0]
        other.receive("a", lend, 0.0)
        for step in range(1, 20):
            now = step * LEASE_MS / 2
            for message in messages(other.tick(now)):
                owner.receive("b", message, now)
            owner.tick(now)
            assert owner.counts(now)["s"].lent_slots == 1

    def test_reports_are_few(self) -> None:
        """Guards against a report for each request under a burst."""
        other = make_dispatcher("b")
        sent = [
            messages(other.submit(make_work(str(i), i / 10), i / 10)) for i in range(20)
        ]
        assert sum(len(batch) for batch in sent) == 1

    def test_silent_owner(self) -> None:
        """Guards against requests that wait for an owner that is gone."""
        other = make_dispatcher("b")
        other.submit(make_work("1", 0.0), 0.0)
        assert starts(other.tick(49.0)) == []
        assert starts(other.tick(50.0)) == ["1"]

    def test_stranded(self) -> None:
        """Guards against evidence that nobody asks for when an owner is gone."""
        other = make_dispatcher("b")
        for target in TARGETS:
            other.set_limit(target.name, 0, 0.0)
        assert other.list_stranded(0.0) == []
        other.submit(make_work("1", 0.0), 0.0)
        assert other.list_stranded(49.0) == []
        assert other.list_stranded(50.0) == ["s"]

    def test_new_owner_counts_usage(self) -> None:
        """Guards against a change of view that fills a target twice."""
        old, new = make_dispatcher("a"), make_dispatcher("b")
        for count in range(6):
            old.submit(make_work(str(count), 0.0), 0.0)
        owned_by_b = Ownership(owners=("b",), targets={t.name: "b" for t in TARGETS})
        usage = messages(old.set_ownership("s", owned_by_b, 1.0))
        assert {type(m) for m in usage} == {Usage}
        new.set_ownership("s", owned_by_b, 1.0)
        for message in usage:
            new.receive("a", message, 2.0)
        assert starts(new.submit(make_work("x", 3.0), 3.0)) == []
        done = messages(old.finish("0", AttemptResult.ANSWERED, 4.0))
        effects = [e for m in done for e in new.receive("a", m, 5.0)]
        assert starts(effects) == ["x"]


class TestDispatcher:
    """Decisions of one instance."""

    def test_deferrable_is_started(self) -> None:
        """Guards against deferrable work that starves under steady short work."""
        dispatcher = make_dispatcher("a")
        for count in range(12):
            dispatcher.submit(make_work(f"first-{count}", 0.0), 0.0)
        later = make_work("later", 0.0, priority=Priority.DEFERRABLE)
        dispatcher.submit(later, 0.0)
        running = [f"first-{count}" for count in range(6)]
        for count in range(200):
            now = 1.0 + count
            dispatcher.submit(make_work(f"next-{count}", now), now)
            effects = dispatcher.finish(running.pop(0), AttemptResult.ANSWERED, now)
            running += starts(effects)
            if "later" in running:
                return
        pytest.fail("the deferrable request was never started")

    def test_long_work_spares_last_slot(self) -> None:
        """Guards against short work that waits behind long work only."""
        dispatcher = make_dispatcher("a")
        rng = random.Random(1)
        now = 0.0
        for count in range(400):
            route = Priority.DEFERRABLE if count % 8 == 0 else Priority.INTERACTIVE
            work = make_work(str(count), now, priority=route)
            assert starts(dispatcher.submit(work, now)) == [str(count)]
            now += rng.uniform(5, 15) * (30 if count % 8 == 0 else 1)
            dispatcher.finish(str(count), AttemptResult.ANSWERED, now)
        effects = []
        for count in range(10):
            work = make_work(
                f"long-{count}", now, timeout_ms=60_000, priority=Priority.DEFERRABLE
            )
            effects += dispatcher.submit(work, now)
        targets = [e.target for e in effects if isinstance(e, Start)]
        assert sorted(targets) == [t.name for t in TARGETS]
        assert starts(dispatcher.submit(make_work("short", now), now)) == ["short"]

    def test_deadline(self) -> None:
        """Guards against a request that is started or forgotten after its time."""
        dispatcher = make_dispatcher("b")
        dispatcher.submit(make_work("1", 0.0, timeout_ms=30.0), 0.0)
        assert dispatcher.next_due(0.0) <= 30.0
        effects = dispatcher.tick(100.0)
        assert Refuse("1", "deadline") in effects
        assert starts(effects) == []

    def test_one_end(self) -> None:
        """Guards against a slot that is freed twice."""
        dispatcher = make_dispatcher("a")
        dispatcher.submit(make_work("1", 0.0), 0.0)
        dispatcher.finish("1", AttemptResult.ANSWERED, 1.0)
        with pytest.raises(InvariantError):
            dispatcher.finish("1", AttemptResult.ANSWERED, 1.0)
