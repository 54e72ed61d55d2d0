"""Targets, time and results of one simulated run."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from currantline.bench._workload import Deployment, Job

__all__ = ["Policy", "Results", "Simulation"]

Event = Callable[[], None]


@attrs.define
class Results:
    """What was measured after the warm-up.

    Parameters
    ----------
    warm_up_ms : float
        Requests that arrive earlier are not counted.
    """

    warm_up_ms: float
    short_ms: list[float] = attrs.field(factory=list)
    long_ms: list[float] = attrs.field(factory=list)
    useful_ms: float = 0.0
    not_run: int = 0
    unknown: int = 0
    messages: int = 0

    def count_end(self, job: Job, now: float, *, is_useful: bool) -> None:
        """Take note of a request that ended at a target."""
        if now >= self.warm_up_ms and is_useful:
            self.useful_ms += job.run_ms
        if job.arrived < self.warm_up_ms:
            return
        if not is_useful:
            self.unknown += 1
            return
        (self.long_ms if job.is_long else self.short_ms).append(now - job.arrived)

    def count_refusal(self, job: Job) -> None:
        """Take note of a request that was not run."""
        if job.arrived >= self.warm_up_ms:
            self.not_run += 1


class Policy(Protocol):
    """What is measured."""

    def arrive(self, job: Job) -> None:
        """Take a request."""
        ...

    def end(self, job: Job, target: int, *, is_useful: bool) -> None:
        """Take note that a request has ended at a target."""
        ...


@attrs.define
class _Target:
    slots: int
    running: int = 0
    backlog: deque[Job] = attrs.field(factory=deque)


class Simulation:
    """Discrete-event run of one policy.

    Parameters
    ----------
    deployment : Deployment
        Sizes and distances.
    warm_up_ms : float
        Time before results count.
    """

    def __init__(self, deployment: Deployment, *, warm_up_ms: float) -> None:
        self.deployment = deployment
        self.now = 0.0
        self.results = Results(warm_up_ms)
        self._targets = [_Target(deployment.slots) for _ in range(deployment.targets)]
        self._events: list[tuple[float, int, Event]] = []
        self._order = itertools.count()
        self._policy: Policy | None = None

    def schedule(self, at: float, event: Event) -> None:
        """Run an event at a time."""
        heapq.heappush(self._events, (at, next(self._order), event))

    def run(self, policy: Policy, jobs: Iterable[Job], *, until_ms: float) -> Results:
        """Feed all requests to a policy and return the results."""
        self._policy = policy
        arrivals = iter(jobs)
        following = next(arrivals, None)
        while self._events or following is not None:
            is_arrival = following is not None and (
                not self._events or following.arrived <= self._events[0][0]
            )
            if is_arrival and following is not None:
                self.now = following.arrived
                policy.arrive(following)
                following = next(arrivals, None)
                continue
            self.now, _, event = heapq.heappop(self._events)
            if self.now > until_ms:
                break
            event()
        return self.results

    def send(self, job: Job, target: int) -> None:
        """Send a request to a target, where it may wait behind others."""
        place = self._targets[target]
        if place.running < place.slots:
            self._start(job, target)
        else:
            place.backlog.append(job)
            self.schedule(job.deadline, lambda: self._abandon(job, target))

    def _start(self, job: Job, target: int) -> None:
        self._targets[target].running += 1
        ends = min(self.now + job.run_ms, job.deadline)
        is_useful = self.now + job.run_ms <= job.deadline
        self.schedule(ends, lambda: self._end(job, target, is_useful))

    def _end(self, job: Job, target: int, is_useful: bool) -> None:
        place = self._targets[target]
        place.running -= 1
        if place.backlog:
            self._start(place.backlog.popleft(), target)
        self._report(job, target, is_useful)

    def _abandon(self, job: Job, target: int) -> None:
        backlog = self._targets[target].backlog
        if job in backlog:
            backlog.remove(job)
            self._report(job, target, False)

    def _report(self, job: Job, target: int, is_useful: bool) -> None:
        self.results.count_end(job, self.now, is_useful=is_useful)
        if self._policy is not None:
            self._policy.end(job, target, is_useful=is_useful)
