"""Targets, time and results of one simulated run."""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable, Iterable
from functools import partial
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
    # The same as callers see it.
    caller_short_ms: list[float] = attrs.field(factory=list)
    long_ms: list[float] = attrs.field(factory=list)
    useful_ms: float = 0.0
    not_run: int = 0
    unknown: int = 0
    messages: int = 0
    calls: int = 0
    # Bytes of slot messages that each instance sent, by number.
    sent_bytes: Counter[int] = attrs.field(factory=Counter)

    def count_end(
        self, job: Job, now: float, *, is_useful: bool, caller_ms: float
    ) -> None:
        """Take note of a request whose answer reached its instance."""
        if now >= self.warm_up_ms and is_useful:
            self.useful_ms += job.run_ms
        if job.arrived < self.warm_up_ms:
            return
        if not is_useful:
            self.unknown += 1
            return
        taken_ms = now - job.arrived
        if job.is_long:
            self.long_ms.append(taken_ms)
            return
        self.short_ms.append(taken_ms)
        self.caller_short_ms.append(taken_ms + 2 * caller_ms)

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


@attrs.frozen(kw_only=True)
class _Attempt:
    job: Job
    target: int
    path_ms: float
    caller_ms: float


@attrs.define
class _Target:
    slots: int
    running: int = 0
    backlog: deque[_Attempt] = attrs.field(factory=deque)


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

    def send(self, job: Job, target: int, *, path_ms: float, caller_ms: float) -> None:
        """Send a request to a target, where it may wait behind others.

        Parameters
        ----------
        job : Job
            The request.
        target : int
            Number of the target.
        path_ms : float
            Distance from the sender to the target one way, in milliseconds.
        caller_ms : float
            Distance from the caller to the sender one way, in milliseconds.
        """
        attempt = _Attempt(job=job, target=target, path_ms=path_ms, caller_ms=caller_ms)
        self.schedule(self.now + path_ms, partial(self._receive, attempt))

    def _receive(self, attempt: _Attempt) -> None:
        place = self._targets[attempt.target]
        if place.running < place.slots:
            self._start(attempt)
            return
        place.backlog.append(attempt)
        self.schedule(attempt.job.deadline, partial(self._abandon, attempt))

    def _start(self, attempt: _Attempt) -> None:
        self._targets[attempt.target].running += 1
        ends = self.now + attempt.job.run_ms
        # The sender gives up at the deadline, and its cancellation takes the path.
        last = attempt.job.deadline + attempt.path_ms
        is_useful = ends + attempt.path_ms <= attempt.job.deadline
        self.schedule(
            ends if is_useful else max(self.now, min(ends, last)),
            partial(self._end, attempt.target),
        )
        known = ends + attempt.path_ms if is_useful else attempt.job.deadline
        self.schedule(
            max(self.now, known), partial(self._report, attempt, is_useful=is_useful)
        )

    def _end(self, target: int) -> None:
        place = self._targets[target]
        place.running -= 1
        if place.backlog:
            self._start(place.backlog.popleft())

    def _abandon(self, attempt: _Attempt) -> None:
        backlog = self._targets[attempt.target].backlog
        if attempt in backlog:
            backlog.remove(attempt)
            self._report(attempt, is_useful=False)

    def _report(self, attempt: _Attempt, *, is_useful: bool) -> None:
        job = attempt.job
        self.results.count_end(
            job, self.now, is_useful=is_useful, caller_ms=attempt.caller_ms
        )
        if self._policy is not None:
            self._policy.end(job, attempt.target, is_useful=is_useful)
