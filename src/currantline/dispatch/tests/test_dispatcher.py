"""Tests of the decisions of dispatchers."""

import random

import attrs
import pytest

from currantline.configuration import Priority
from currantline.directory import Ownership
from currantline.dispatch import (
    Demand,
    DispatchOptions,
    Lend,
    Refuse,
    Return,
    Send,
    Start,
    Usage,
)
from currantline.dispatch._pool import ServicePool
from currantline.dispatch.tests.support import (
    LEASE_MS,
    LOAN_AGE_MS,
    OWNED_BY_A,
    SERVICE,
    SLOTS,
    TARGETS,
    make_dispatcher,
    make_work,
    messages,
    starts,
)
from currantline.exceptions import InvariantError
from currantline.forwarding import AttemptResult


class TestLending:
    """Loans between an owner and an instance that owns nothing."""

    def test_loan_and_return(self) -> None:
        """Guards against a borrower that does not use a loan, or does not return it."""
        owner, borrower = make_dispatcher("a"), make_dispatcher("b")
        demand = messages(borrower.submit(make_work("1", 0.0), 0.0))
        assert [type(m) for m in demand] == [Demand]
        lends = messages(owner.receive("b", demand[0], 1.5))
        assert [type(m) for m in lends] == [Lend]
        assert starts(borrower.receive("a", lends[0], 3.0)) == ["1"]
        assert starts(borrower.receive("a", lends[0], 3.5)) == []
        ended = messages(borrower.finish("1", AttemptResult.ANSWERED, 9.0))
        assert [type(m) for m in ended] == [Return]
        owner.receive("b", ended[0], 10.5)
        assert owner.counts(10.5)["s"].free_slots == 6
        assert starts(borrower.receive("a", lends[0], 12.0)) == []

    def test_loan_of_leaving_target(self) -> None:
        """Guards against a loan used though the borrower knows its target to leave."""
        owner, borrower = make_dispatcher("a"), make_dispatcher("b")
        demand = messages(borrower.submit(make_work("1", 0.0), 0.0))[0]
        lend = messages(owner.receive("b", demand, 1.0))[0]
        assert isinstance(lend, Lend)
        borrower.set_limit(lend.target, 0, 2.0)
        effects = borrower.receive("a", lend, 3.0)
        assert starts(effects) == []
        assert Send("a", Return(loan_id=lend.loan_id)) in effects

    def test_loan_of_unknown_target(self) -> None:
        """Guards against a loan declined as only the owner knows the target's state."""
        owner, borrower = make_dispatcher("a"), make_dispatcher("b")
        demand = messages(borrower.submit(make_work("1", 0.0), 0.0))[0]
        lend = messages(owner.receive("b", demand, 1.0))[0]
        assert isinstance(lend, Lend)
        borrower.set_limit(lend.target, 0, 2.0, accepts_loans=True)
        assert starts(borrower.receive("a", lend, 3.0)) == ["1"]

    @pytest.mark.parametrize("delay_ms", [499.0, 500.0])
    def test_late_loan(self, delay_ms: float) -> None:
        """Guards against use of a loan that is based on outdated evidence."""
        owner, borrower = make_dispatcher("a"), make_dispatcher("b")
        demand = messages(borrower.submit(make_work("1", 0.0), 0.0))[0]
        lend = messages(owner.receive("b", demand, 1.0))[0]
        borrower.cancel("1", 1.0)
        borrower.submit(make_work("2", delay_ms), delay_ms)
        is_late = delay_ms >= LOAN_AGE_MS
        effects = borrower.receive("a", lend, delay_ms)
        assert starts(effects) == ([] if is_late else ["2"])
        ended = (
            borrower.finish("2", AttemptResult.ANSWERED, 500.0) if not is_late else []
        )
        borrower.submit(make_work("3", 500.0), 500.0)
        assert starts(ended + borrower.tick(500.0)) == []

    def test_lost_return(self) -> None:
        """Guards against a slot that stays idle after a Return was lost."""
        owner = make_dispatcher("a")
        demand = messages(make_dispatcher("b").submit(make_work("1", 0.0), 0.0))
        owner.receive("b", demand[0], 1.0)
        assert owner.counts(1.0)["s"].free_slots == 5
        assert owner.next_due(1.0) <= 1.0 + LEASE_MS
        owner.tick(1.0 + LEASE_MS)
        assert owner.counts(1.0 + LEASE_MS)["s"].free_slots == 6

    def test_running_request_keeps_loan(self) -> None:
        """Guards against a slot that is allocated twice during a long request."""
        owner, borrower = make_dispatcher("a"), make_dispatcher("b")
        demand = messages(borrower.submit(make_work("1", 0.0), 0.0))
        lend = messages(owner.receive("b", demand[0], 0.0))[0]
        borrower.receive("a", lend, 0.0)
        for step in range(1, 20):
            now = step * LEASE_MS / 2
            for message in messages(borrower.tick(now)):
                owner.receive("b", message, now)
            owner.tick(now)
            assert owner.counts(now)["s"].lent_slots == 1

    def test_reports_are_few(self) -> None:
        """Guards against a demand report for each request of a burst."""
        borrower = make_dispatcher("b")
        sent = [
            messages(borrower.submit(make_work(str(i), i / 10), i / 10))
            for i in range(20)
        ]
        assert sum(len(batch) for batch in sent) == 1

    def test_silent_owner(self) -> None:
        """Guards against requests that wait for an owner that does not respond."""
        borrower = make_dispatcher("b")
        borrower.submit(make_work("1", 0.0), 0.0)
        assert starts(borrower.tick(49.0)) == []
        assert starts(borrower.tick(50.0)) == ["1"]

    def test_starved(self) -> None:
        """Guards against a starved service that is not listed."""
        borrower = make_dispatcher("b")
        for target in TARGETS:
            borrower.set_limit(target.name, 0, 0.0)
        assert borrower.list_starved(0.0) == []
        borrower.submit(make_work("1", 0.0), 0.0)
        assert borrower.list_starved(49.0) == []
        assert borrower.list_starved(50.0) == ["s"]

    def test_new_owner_counts_usage(self) -> None:
        """Guards against a target whose slots are used twice after an owner change."""
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

    def test_deferrable_does_not_starve(self) -> None:
        """Guards against deferrable requests that starve under steady short load."""
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
        """Guards against long requests that occupy every slot."""
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
        """Guards against a request that is started or kept after its deadline."""
        dispatcher = make_dispatcher("b")
        dispatcher.submit(make_work("1", 0.0, timeout_ms=30.0), 0.0)
        assert dispatcher.next_due(0.0) <= 30.0
        effects = dispatcher.tick(100.0)
        assert Refuse("1", "deadline") in effects
        assert starts(effects) == []

    def test_finish_twice(self) -> None:
        """Guards against a slot that is freed twice."""
        dispatcher = make_dispatcher("a")
        dispatcher.submit(make_work("1", 0.0), 0.0)
        dispatcher.finish("1", AttemptResult.ANSWERED, 1.0)
        with pytest.raises(InvariantError):
            dispatcher.finish("1", AttemptResult.ANSWERED, 1.0)

    def test_removed_service(self) -> None:
        """Guards against leaked state or lost requests of a removed service."""
        dispatcher = make_dispatcher("a")
        for count in range(7):
            dispatcher.submit(make_work(f"{count}", 0.0), 0.0)
        assert Refuse("6", "no-target") in dispatcher.retain_services((), 1.0)
        assert dispatcher.counts(1.0)["s"].running == 6
        late = make_work("late", 1.0)
        assert dispatcher.submit(late, 1.0) == [Refuse("late", "no-target")]
        for count in range(6):
            dispatcher.check()
            dispatcher.finish(f"{count}", AttemptResult.ANSWERED, 2.0)
        assert dispatcher.counts(2.0) == {}

    def test_removed_and_added_service(self) -> None:
        """Guards against a service that refuses requests after it was added again."""
        dispatcher = make_dispatcher("a")
        dispatcher.submit(make_work("1", 0.0), 0.0)
        dispatcher.retain_services((), 1.0)
        dispatcher.set_service(SERVICE)
        dispatcher.set_ownership("s", OWNED_BY_A, 2.0)
        dispatcher.set_limit("t1", SLOTS, 2.0)
        assert starts(dispatcher.submit(make_work("2", 2.0), 2.0)) == ["2"]
        dispatcher.finish("1", AttemptResult.ANSWERED, 3.0)
        assert dispatcher.counts(3.0)["s"].running == 1

    def test_removed_target(self) -> None:
        """Guards against a removed target that is kept after its last request."""
        dispatcher = make_dispatcher("a")
        effects = [
            effect
            for count in range(6)
            for effect in dispatcher.submit(make_work(f"{count}", 0.0), 0.0)
        ]
        started = [e.request_id for e in effects if isinstance(e, Start)]
        dispatcher.set_service(attrs.evolve(SERVICE, targets=TARGETS[1:]))
        dispatcher.set_limit("t0", SLOTS, 1.0)
        for request_id in started:
            dispatcher.finish(request_id, AttemptResult.ANSWERED, 2.0)
            dispatcher.check()
        assert dispatcher.counts(2.0)["s"].free_slots == 4
        dispatcher.set_service(SERVICE)
        dispatcher.set_ownership("s", OWNED_BY_A, 3.0)
        assert dispatcher.counts(3.0)["s"].free_slots == 4


class TestRetries:
    """Requests that some targets have already failed."""

    def test_other_target(self) -> None:
        """Guards against a retry on the target that has just failed it."""
        dispatcher = make_dispatcher("a")
        avoid = frozenset({"t0", "t2"})
        effects = dispatcher.submit(make_work("1", 0.0, avoid=avoid), 0.0)
        assert [e.target for e in effects if isinstance(e, Start)] == ["t1"]

    @pytest.mark.parametrize(("timeout_ms", "until"), [(10.0, 5.0), (1000.0, 20.0)])
    def test_short_wait(self, timeout_ms: float, until: float) -> None:
        """Guards against a retry that blocks others or waits past its deadline."""
        dispatcher = make_dispatcher("a")
        on_target: dict[str, list[str]] = {}
        for count in range(6):
            for effect in dispatcher.submit(make_work(f"{count}", 0.0), 0.0):
                assert isinstance(effect, Start)
                on_target.setdefault(effect.target, []).append(effect.request_id)
        avoid = frozenset({"t0"})
        retry = make_work("retry", 0.0, timeout_ms=timeout_ms, avoid=avoid)
        dispatcher.submit(retry, 0.0)
        dispatcher.submit(make_work("next", 0.5), 0.5)
        first, second = on_target["t0"]
        answered = AttemptResult.ANSWERED
        assert starts(dispatcher.finish(first, answered, 1.0)) == ["next"]
        assert starts(dispatcher.finish(second, answered, 2.0)) == []
        assert dispatcher.next_due(2.0) <= until
        assert starts(dispatcher.tick(until)) == ["retry"]

    def test_no_other_target(self) -> None:
        """Guards against a wait for a target that accepts no requests."""
        dispatcher = make_dispatcher("a")
        for name in ("t1", "t2"):
            dispatcher.set_limit(name, 0, 0.0)
        retry = make_work("retry", 0.0, avoid=frozenset({"t0"}))
        assert starts(dispatcher.submit(retry, 0.0)) == ["retry"]

    def test_loan_of_other_target(self) -> None:
        """Guards against a retry on a borrowed slot of the target that failed it."""
        owner, borrower = make_dispatcher("a"), make_dispatcher("b")
        work = make_work("1", 0.0)
        demand = messages(borrower.submit(work, 0.0))[0]
        lend = messages(owner.receive("b", demand, 1.0))[0]
        assert isinstance(lend, Lend)
        borrower.cancel("1", 1.5)
        retry = make_work("retry", 1.5, avoid=frozenset({lend.target}))
        borrower.submit(retry, 1.5)
        effects = borrower.receive("a", lend, 2.0)
        assert starts(effects) == []
        assert Send("a", Return(loan_id=lend.loan_id)) in effects

    def test_route_found_long_while_waiting(self) -> None:
        """Guards against an error if a queued route becomes long before its start."""
        pool = ServicePool(
            "b", SERVICE, random.Random(1), DispatchOptions(), iter(range(9)).__next__
        )
        pool.set_ownership(OWNED_BY_A, 0.0)
        pool.slot_tracker.set_limit("t0", SLOTS, accepts_loans=True)
        demand = messages(pool.submit(make_work("1", 0.0), 0.0))[0]
        assert isinstance(demand, Demand)
        for _ in range(20):
            pool.durations.observe("brief", 1.0)
        for _ in range(10):
            pool.durations.observe("interactive", 100.0)
        assert pool.durations.is_long("interactive")
        lend = Lend(
            loan_id=1, service="s", target="t0", lease_ms=100.0, number=demand.number
        )
        assert starts(pool.receive_lend("a", lend, 1.0)) == ["1"]
