"""Failed requests and p99 with limits of the target tracker and with fixed limits.

One queue, one instance and a service of 10 targets with 2 slots each, on a manual
clock. Faults begin after the warm-up and last until the end. This is a model: there
is no network, and a target answers every probe as ready, including the failing one.

Run with ``python -m currantline.bench.easing``.
"""

import heapq
import itertools
import random
import sys
from collections import deque
from collections.abc import Callable, Iterator

import attrs

from currantline.clock import ManualClock
from currantline.configuration import Service, Target
from currantline.load import (
    LoadReport,
    Observation,
    Signal,
    TargetState,
    TargetTracker,
)

__all__ = ["Result", "measure"]

TARGETS = 10
SLOTS = 2
MEAN_SERVICE_MS = 8.0
FAST_FAILURE_MS = 0.2
SLOW_FACTOR = 10.0
# Requests that a cold target runs slowly before it is warm.
COLD_REQUESTS = 100
LOAD = 0.7
# Arrivals per millisecond.
ARRIVALS_PER_MS = LOAD * TARGETS * SLOTS / MEAN_SERVICE_MS
WARM_UP_MS = 2_000.0
RUN_MS = 12_000.0
PROBE_INTERVAL_MS = 1_000.0
SEEDS = (1, 2, 3)
QUANTILE = 0.99

SLOW_TARGET, FAILING_TARGET, COLD_TARGET = "t0", "t1", "t2"
FAULTS: dict[str, frozenset[str]] = {
    "none": frozenset(),
    "one slows 10 times": frozenset({SLOW_TARGET}),
    "one fails fast": frozenset({FAILING_TARGET}),
    "one starts cold": frozenset({COLD_TARGET}),
    "all three": frozenset({SLOW_TARGET, FAILING_TARGET, COLD_TARGET}),
}


@attrs.frozen(kw_only=True)
class Result:
    """Results of one run after the warm-up.

    Parameters
    ----------
    requests : int
        Requests that arrived.
    lost : int
        Requests that failed.
    p99_ms : float
        99th percentile of the response time of the others.
    """

    requests: int
    lost: int
    p99_ms: float


@attrs.define
class Model:
    """Simulation of one run.

    Parameters
    ----------
    arrival_rng : random.Random
        Source of arrival_rng, the same with either source of limits.
    rng : random.Random
        Source of service times and choices.
    faulty : frozenset of str
        Targets with a fault.
    target_tracker : TargetTracker or None
        Source of limits; None for fixed limits.
    """

    arrival_rng: random.Random
    rng: random.Random
    faulty: frozenset[str]
    target_tracker: TargetTracker | None
    clock: ManualClock = attrs.field(factory=ManualClock)
    queue: deque[float] = attrs.field(factory=deque)
    in_flight: dict[str, int] = attrs.field(factory=dict)
    cold_requests: int = 0
    requests: int = 0
    lost: int = 0
    times_ms: list[float] = attrs.field(factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _event_numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def run(self) -> Result:
        """Run to the end and return the result."""
        self.in_flight = {f"t{i}": 0 for i in range(TARGETS)}
        self._schedule_at(0.0, self._probe)
        self._schedule_at(0.0, self._arrive)
        while self._events[0][0] < RUN_MS:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.read())
            action()
        ordered = sorted(self.times_ms)
        p99_ms = ordered[int(QUANTILE * len(ordered))]
        return Result(requests=self.requests, lost=self.lost, p99_ms=p99_ms)

    def _schedule_at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._event_numbers), action))

    def _schedule_after(self, wait_ms: float, action: Callable[[], None]) -> None:
        self._schedule_at(self.clock.read() + wait_ms, action)

    def _arrive(self) -> None:
        self.queue.append(self.clock.read())
        self.requests += self.clock.read() >= WARM_UP_MS
        self._start_waiting()
        self._schedule_after(
            self.arrival_rng.expovariate(ARRIVALS_PER_MS), self._arrive
        )

    def _probe(self) -> None:
        for name in self.in_flight:
            self._observe(name, Signal.PROBED, self.clock.read(), None)
        self._start_waiting()
        self._schedule_after(PROBE_INTERVAL_MS, self._probe)

    def _start_waiting(self) -> None:
        while self.queue and (name := self._choose()) is not None:
            self._start(name, self.queue.popleft())

    def _choose(self) -> str | None:
        free = [
            (count, self.rng.random(), name)
            for name, count in self.in_flight.items()
            if count < self._find_limit(name)
        ]
        return min(free)[2] if free else None

    def _find_limit(self, name: str) -> int:
        if self.target_tracker is None:
            return SLOTS
        return self.target_tracker.limit(name, self.clock.read())

    def _start(self, name: str, arrived: float) -> None:
        sent = self.clock.read()
        self.in_flight[name] += 1
        service_ms = self.rng.expovariate(1 / MEAN_SERVICE_MS)
        is_faulty = name in self.faulty and sent >= WARM_UP_MS
        fails = is_faulty and name == FAILING_TARGET
        if fails:
            service_ms = FAST_FAILURE_MS
        elif is_faulty and (name == SLOW_TARGET or self.cold_requests < COLD_REQUESTS):
            service_ms *= SLOW_FACTOR
            self.cold_requests += name == COLD_TARGET
        self._schedule_after(
            service_ms, lambda: self._finish(name, arrived, sent, fails)
        )

    def _finish(self, name: str, arrived: float, sent: float, fails: bool) -> None:
        now = self.clock.read()
        self.in_flight[name] -= 1
        if fails:
            self.lost += 1
        elif arrived >= WARM_UP_MS:
            self.times_ms.append(now - arrived)
        signal = Signal.FAILED if fails else Signal.ANSWERED
        self._observe(name, signal, sent, now - sent)
        self._start_waiting()

    def _observe(
        self, name: str, signal: Signal, sent: float, duration_ms: float | None
    ) -> None:
        if self.target_tracker is None:
            return
        report = LoadReport(
            in_flight=self.in_flight[name], slots=SLOTS, state=TargetState.READY
        )
        observation = Observation(
            signal=signal, sent=sent, report=report, duration_ms=duration_ms
        )
        self.target_tracker.observe(name, observation, self.clock.read())


def measure(faulty: frozenset[str], seed: int, *, uses_tracker: bool) -> Result:
    """Run the model once.

    Parameters
    ----------
    faulty : frozenset of str
        Targets with a fault.
    seed : int
        Seed of arrival_rng, service times and jitter.
    uses_tracker : bool
        Whether limits come from a `TargetTracker`, else all slots are used.
    """
    target_tracker = None
    if uses_tracker:
        targets = tuple(
            Target(
                name=f"t{i}",
                address=f"127.0.0.1:{7000 + i}",
                data_centre="a",
                slots=SLOTS,
            )
            for i in range(TARGETS)
        )
        target_tracker = TargetTracker(random.Random(seed))
        target_tracker.set_services([Service(name="s", targets=targets)])
    arrival_rng = random.Random(f"{seed} arrivals")
    return Model(arrival_rng, random.Random(seed), faulty, target_tracker).run()


def main() -> None:
    """Print a table with a row for each fault, policy and seed."""
    row = "{:<20}{:<8}{:>5}{:>10}{:>8}{:>9}\n"
    sys.stdout.write(
        row.format("fault", "limits", "seed", "requests", "lost", "p99 ms")
    )
    for fault, faulty in FAULTS.items():
        for uses_tracker, seed in itertools.product((False, True), SEEDS):
            result = measure(faulty, seed, uses_tracker=uses_tracker)
            limits = "book" if uses_tracker else "fixed"
            p99 = f"{result.p99_ms:.1f}"
            sys.stdout.write(
                row.format(fault, limits, seed, result.requests, result.lost, p99)
            )


if __name__ == "__main__":
    main()
