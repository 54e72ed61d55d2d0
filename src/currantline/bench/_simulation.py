"""Discrete-event simulation of targets."""

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
    """Results measured after the warm-up.

    Parameters
    ----------
    warm_up_ms : float
        Requests that arrive earlier are not counted.
    """

    warm_up_ms: float
    short_ms: list[float] = attrs.field(factory=list)
    # Response times that callers observe.
    caller_short_ms: list[float] = attrs.field(factory=list)
    long_ms: list[float] = attrs.field(factory=list)
    useful_ms: float = 0.0
    not_run: int = 0
    unknown: int = 0
    messages: int = 0
    calls: int = 0
    # Bytes of slot messages that each instance sent, by number.
    sent_bytes: Counter[int] = attrs.field(factory=Counter)

    def record_completion(
        self, job: Job, now: float, *, met_deadline: bool, caller_latency_ms: float
    ) -> None:
        """Record a request whose response reached the instance or timed out."""
        if now >= self.warm_up_ms and met_deadline:
            self.useful_ms += job.run_ms
        if job.arrived < self.warm_up_ms:
            return
        if not met_deadline:
            self.unknown += 1
            return
        response_ms = now - job.arrived
        if job.is_long:
            self.long_ms.append(response_ms)
            return
        self.short_ms.append(response_ms)
        self.caller_short_ms.append(response_ms + 2 * caller_latency_ms)

    def record_refusal(self, job: Job) -> None:
        """Record a request that was not run."""
        if job.arrived >= self.warm_up_ms:
            self.not_run += 1


class Policy(Protocol):
    """Load-balancing policy under measurement."""

    def on_arrival(self, job: Job) -> None:
        """Handle the arrival of a request."""
        ...

    def on_completion(self, job: Job, target: int, *, met_deadline: bool) -> None:
        """Handle the end of a request at a target."""
        ...


@attrs.frozen(kw_only=True)
class _Attempt:
    job: Job
    target: int
    target_latency_ms: float
    caller_latency_ms: float


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
        Sizes and latencies.
    warm_up_ms : float
        Warm-up time that is excluded from the results.
    """

    def __init__(self, deployment: Deployment, *, warm_up_ms: float) -> None:
        self.deployment = deployment
        self.now = 0.0
        self.results = Results(warm_up_ms)
        self._targets = [_Target(deployment.slots) for _ in range(deployment.targets)]
        self._events: list[tuple[float, int, Event]] = []
        self._event_numbers = itertools.count()
        self._policy: Policy | None = None

    def schedule(self, at: float, event: Event) -> None:
        """Schedule an event."""
        heapq.heappush(self._events, (at, next(self._event_numbers), event))

    def run(self, policy: Policy, jobs: Iterable[Job], *, until_ms: float) -> Results:
        """Feed all requests to a policy and return the results."""
        self._policy = policy
        arrivals = iter(jobs)
        next_job = next(arrivals, None)
        while self._events or next_job is not None:
            is_arrival = next_job is not None and (
                not self._events or next_job.arrived <= self._events[0][0]
            )
            if is_arrival and next_job is not None:
                self.now = next_job.arrived
                policy.on_arrival(next_job)
                next_job = next(arrivals, None)
                continue
            self.now, _, event = heapq.heappop(self._events)
            if self.now > until_ms:
                break
            event()
        return self.results

    def send(
        self,
        job: Job,
        target: int,
        *,
        target_latency_ms: float,
        caller_latency_ms: float,
    ) -> None:
        """Send a request to a target, which queues it if no slot is free.

        Parameters
        ----------
        job : Job
            The request.
        target : int
            Index of the target.
        target_latency_ms : float
            One-way latency from the sender to the target, in milliseconds.
        caller_latency_ms : float
            One-way latency from the caller to the sender, in milliseconds.
        """
        attempt = _Attempt(
            job=job,
            target=target,
            target_latency_ms=target_latency_ms,
            caller_latency_ms=caller_latency_ms,
        )
        self.schedule(self.now + target_latency_ms, partial(self._receive, attempt))

    def _receive(self, attempt: _Attempt) -> None:
        state = self._targets[attempt.target]
        if state.running < state.slots:
            self._start(attempt)
            return
        state.backlog.append(attempt)
        self.schedule(attempt.job.deadline, partial(self._expire, attempt))

    def _start(self, attempt: _Attempt) -> None:
        self._targets[attempt.target].running += 1
        ends_at = self.now + attempt.job.run_ms
        # The sender cancels at the deadline; the target sees that one latency later.
        cancelled_at = attempt.job.deadline + attempt.target_latency_ms
        met_deadline = ends_at + attempt.target_latency_ms <= attempt.job.deadline
        self.schedule(
            ends_at if met_deadline else max(self.now, min(ends_at, cancelled_at)),
            partial(self._free_slot, attempt.target),
        )
        completed_at = (
            ends_at + attempt.target_latency_ms
            if met_deadline
            else attempt.job.deadline
        )
        self.schedule(
            max(self.now, completed_at),
            partial(self._complete, attempt, met_deadline=met_deadline),
        )

    def _free_slot(self, target: int) -> None:
        state = self._targets[target]
        state.running -= 1
        if state.backlog:
            self._start(state.backlog.popleft())

    def _expire(self, attempt: _Attempt) -> None:
        backlog = self._targets[attempt.target].backlog
        if attempt in backlog:
            backlog.remove(attempt)
            self._complete(attempt, met_deadline=False)

    def _complete(self, attempt: _Attempt, *, met_deadline: bool) -> None:
        job = attempt.job
        self.results.record_completion(
            job,
            self.now,
            met_deadline=met_deadline,
            caller_latency_ms=attempt.caller_latency_ms,
        )
        if self._policy is not None:
            self._policy.on_completion(job, attempt.target, met_deadline=met_deadline)
