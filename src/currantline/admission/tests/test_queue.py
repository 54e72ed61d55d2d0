"""Tests of the duration estimator and the waiting queue."""

import random

import pytest

from currantline.admission import (
    Admitted,
    DurationEstimator,
    QueueOptions,
    Rejected,
    WaitingQueue,
    WorkItem,
)
from currantline.configuration import Priority


def make_durations() -> DurationEstimator:
    """Return an estimator that has observed a short and a long route."""
    durations = DurationEstimator()
    rng = random.Random(1)
    for count in range(2000):
        is_long = count % 20 == 0
        mean_ms = 200.0 if is_long else 8.0
        duration_ms = rng.expovariate(1 / mean_ms)
        durations.observe("pull" if is_long else "lookup", duration_ms)
    return durations


def make_work(
    name: str,
    *,
    route: str = "lookup",
    arrived: float = 0.0,
    deadline: float = 10_000.0,
    priority: Priority = Priority.INTERACTIVE,
) -> WorkItem:
    """Return a request."""
    return WorkItem(
        request_id=name,
        service="s",
        route=route,
        priority=priority,
        deadline=deadline,
        arrived=arrived,
    )


def make_queue(limit: int = 100) -> WaitingQueue:
    """Return an empty queue."""
    return WaitingQueue(make_durations(), QueueOptions(limit=limit))


class TestLengthEstimator:
    """Classification of routes by observed duration alone."""

    def test_long_route_is_found(self) -> None:
        """Guards against a long route that is classified as short, or the reverse."""
        durations = make_durations()
        assert durations.is_long("pull")
        assert not durations.is_long("lookup")
        assert 3 < durations.median_ms("lookup") < 10
        assert 12 < durations.p95_ms("lookup") < 40

    def test_unknown_route_is_short(self) -> None:
        """Guards against a new route that is queued behind all short requests."""
        assert not DurationEstimator().is_long("new")

    def test_change_of_speed(self) -> None:
        """Guards against a route that stays classified as long once it is fast."""
        durations = make_durations()
        for _ in range(200):
            durations.observe("pull", 6.0)
        assert not durations.is_long("pull")


class TestWaitingQueue:
    """Order of starts, and refusals."""

    def test_short_before_long_and_deferrable(self) -> None:
        """Guards against short requests that wait behind background requests."""
        queue = make_queue()
        queue.push(make_work("long", route="pull"), 0.0)
        deferrable = make_work("later", arrived=1.0, priority=Priority.DEFERRABLE)
        queue.push(deferrable, 1.0)
        queue.push(make_work("short", arrived=2.0), 2.0)
        popped = [queue.pop(True, 3.0) for _ in range(3)]
        assert [w.request_id for w in popped if w] == ["short", "long", "later"]

    def test_last_slot(self) -> None:
        """Guards against a long request on the slot reserved for short requests."""
        queue = make_queue()
        queue.push(make_work("long", route="pull"), 0.0)
        assert queue.pop(False, 0.0) is None
        later = make_work("later", arrived=1.0, priority=Priority.DEFERRABLE)
        queue.push(later, 1.0)
        assert queue.pop(False, 1.0) is later

    def test_fairness_start(self) -> None:
        """Guards against deferrable requests that starve behind short ones."""
        queue = make_queue()
        later = make_work("later", priority=Priority.DEFERRABLE)
        queue.push(later, 0.0)
        for count in range(100):
            queue.push(make_work(f"short-{count}"), 0.0)
        interval = QueueOptions().fairness_interval
        popped = [queue.pop(True, 0.0) for _ in range(interval)]
        assert popped[-1] is later

    def test_early_refusal(self) -> None:
        """Guards against queueing a request that is certain to miss its deadline."""
        queue = make_queue()
        for count in range(60):
            queue.push(make_work(f"first-{count}"), 0.0)
        # At one start per 100 ms, 30 waiting requests take 3 s.
        for count in range(30):
            queue.pop(True, 100.0 * (count + 1))
        now = 3000.0
        late = make_work("late", arrived=now, deadline=now + 2000)
        assert queue.push(late, now) == Rejected("overload")
        deferrable = make_work("deferrable", arrived=now, deadline=now + 8000)
        assert queue.push(deferrable, now) == Admitted()

    def test_idle_rate_refuses_nothing(self) -> None:
        """Guards against refusals due to a start rate that arrivals limited."""
        queue = make_queue()
        for count in range(100):
            now = 1000.0 * count
            queue.push(make_work(f"{count}", arrived=now, deadline=now + 900), now)
            queue.pop(True, now)
        now = 200_000.0
        for count in range(5):
            work = make_work(f"burst-{count}", arrived=now, deadline=now + 900)
            assert queue.push(work, now) == Admitted()

    def test_expiry_leaves_time_to_run(self) -> None:
        """Guards against a start too late to complete before the deadline."""
        queue = make_queue()
        work = make_work("long", route="pull", deadline=4000.0)
        queue.push(work, 0.0)
        assert queue.expire(1000.0) == []
        assert queue.expire(4000.0 - 400.0) == [work]
        assert len(queue) == 0

    @pytest.mark.parametrize("full", list(Priority))
    def test_limit_per_priority(self, full: Priority) -> None:
        """Guards against one priority class using up the limit of the other."""
        queue = make_queue(limit=3)
        for count in range(3):
            queue.push(make_work(f"{count}", priority=full), 0.0)
        assert queue.push(make_work("x", priority=full), 0.0) == Rejected("queue-full")
        other = next(p for p in Priority if p is not full)
        assert queue.push(make_work("y", priority=other), 0.0) == Admitted()

    def test_removed_request_is_queued_again(self) -> None:
        """Guards against the stale heap entry of a request that is queued again."""
        queue = make_queue()
        queue.push(make_work("a"), 0.0)
        queue.remove("a")
        again = make_work("a", arrived=5.0)
        queue.push(again, 5.0)
        assert queue.pop(True, 6.0) is again
        assert queue.pop(True, 6.0) is None
