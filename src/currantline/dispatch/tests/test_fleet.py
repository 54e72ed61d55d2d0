"""Stateful test of several dispatchers with message and instance faults."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from currantline.configuration import Priority, Target
from currantline.directory import assign_owners
from currantline.dispatch import Demand, Effect, Lend, Message, Return, Send, Start
from currantline.dispatch.tests.support import (
    INSTANCES,
    LEASE_MS,
    LOAN_AGE_MS,
    NAMES,
    SERVICE,
    SLOTS,
    TARGETS,
    make_dispatcher,
    make_work,
)
from currantline.forwarding import AttemptResult


class FleetMachine(RuleBasedStateMachine):
    """Dispatchers whose messages are lost, delayed, duplicated and reordered."""

    @initialize()
    def begin(self) -> None:
        """Start all instances with the same owners."""
        self.now = 0.0
        self.count = 0
        self.fleet = {
            name: make_dispatcher(name, assign_owners(SERVICE, INSTANCES))
            for name in NAMES
        }
        self.in_transit: list[tuple[str, str, Message]] = []
        self.report_times: dict[tuple[str, int], float] = {}
        self.lent: set[tuple[str, int]] = set()
        self.deadlines: dict[str, float] = {}
        self.waiting: dict[str, str] = {}
        self.running: dict[str, str] = {}

    def carry_out(self, name: str, effects: list[Effect]) -> None:
        """Check the outcome of requests and send the messages."""
        for effect in effects:
            if isinstance(effect, Send):
                assert effect.instance != name
                if isinstance(effect.message, Demand):
                    self.report_times[name, effect.message.number] = self.now
                self.in_transit.append((name, effect.instance, effect.message))
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
        """End a running request."""
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        name = self.running.pop(request_id)
        self.carry_out(name, self.fleet[name].finish(request_id, result, self.now))

    @precondition(lambda self: self.running or self.waiting)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancel a request whose caller has disconnected."""
        present = {**self.running, **self.waiting}
        request_id = data.draw(st.sampled_from(sorted(present)))
        self.running.pop(request_id, None)
        self.waiting.pop(request_id, None)
        name = present[request_id]
        self.carry_out(name, self.fleet[name].cancel(request_id, self.now))

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), delivery=st.sampled_from(["once", "once", "twice", "lost"]))
    def deliver(self, data: st.DataObject, delivery: str) -> None:
        """Deliver, duplicate or lose any message in transit."""
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        sender, name, message = self.in_transit[index]
        if delivery != "twice":
            del self.in_transit[index]
        if delivery != "lost":
            effects = self.fleet[name].receive(sender, message, self.now)
            if isinstance(message, Lend):
                self.check_age(sender, name, message, effects)
            self.carry_out(name, effects)

    def check_age(
        self, sender: str, name: str, lend: Lend, effects: list[Effect]
    ) -> None:
        """Expect an immediate return of a loan that answers an old report."""
        is_old = self.now >= self.report_times[name, lend.number] + LOAN_AGE_MS
        is_first = (name, lend.loan_id) not in self.lent
        self.lent.add((name, lend.loan_id))
        if is_old and is_first:
            assert Send(sender, Return(loan_id=lend.loan_id)) in effects

    @rule(
        duration_ms=st.sampled_from([1.0, 10.0, 60.0, 400.0, 3000.0]),
        ticking=st.sets(st.sampled_from(NAMES)),
    )
    def wait(self, duration_ms: float, ticking: set[str]) -> None:
        """Advance the time; instances that do not tick are paused."""
        self.now += duration_ms
        for name in sorted(ticking):
            self.carry_out(name, self.fleet[name].tick(self.now))

    @rule(name=st.sampled_from(NAMES), live=st.sets(st.sampled_from(NAMES)))
    def change_membership(self, name: str, live: set[str]) -> None:
        """Give one instance another view of the owners than the rest."""
        ownership = assign_owners(SERVICE, [(n, "n") for n in live])
        effects = self.fleet[name].set_ownership("s", ownership, self.now)
        self.carry_out(name, effects)

    @rule(
        name=st.sampled_from(NAMES),
        changed=st.sampled_from(TARGETS),
        slots=st.integers(0, SLOTS),
    )
    def change_limit(self, name: str, changed: Target, slots: int) -> None:
        """Change a limit, as if a target drains, slows down or recovers."""
        effects = self.fleet[name].set_limit(changed.name, slots, self.now)
        self.carry_out(name, effects)

    @rule(name=st.sampled_from(NAMES))
    def resume(self, name: str) -> None:
        """Reset an instance, as after a pause."""
        self.carry_out(name, self.fleet[name].reset(self.now))

    def end_all(self) -> None:
        """End all running requests, and those that start on their slots."""
        while self.running:
            request_id, name = self.running.popitem()
            result = AttemptResult.TIMED_OUT
            self.carry_out(name, self.fleet[name].finish(request_id, result, self.now))

    @invariant()
    def counts_agree(self) -> None:
        """Slots in use match the running requests."""
        for name, dispatcher in self.fleet.items():
            dispatcher.check()
            counts = dispatcher.counts(self.now)["s"]
            local = [r for r, owner in self.running.items() if owner == name]
            assert counts.running == len(local)

    def teardown(self) -> None:
        """End all requests and leases, and expect every slot to be free."""
        if not hasattr(self, "fleet"):
            return
        self.end_all()
        self.now += 500.0
        for name, dispatcher in self.fleet.items():
            self.carry_out(name, dispatcher.tick(self.now))
        self.end_all()
        assert not self.waiting
        self.now += 20 * LEASE_MS
        ownership = assign_owners(SERVICE, INSTANCES)
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
    """Several dispatchers with faults."""

    def test_any_order_of_events(self) -> None:
        """Guards against lost or doubly used slots and requests without an outcome."""
        run_state_machine_as_test(
            FleetMachine,
            settings=settings(
                derandomize=True,
                max_examples=150,
                stateful_step_count=40,
                deadline=None,
            ),
        )
