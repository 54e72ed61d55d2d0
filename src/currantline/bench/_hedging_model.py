"""Model of a fleet that hedges requests, in virtual time.

Instances, one service and hosts with two targets each, without a network and without
the gateway. The choice of a target, the limit of hedges, the response times and the
retry budget are those of the product. All requests are idempotent, and a copy takes as
much work as the first one.
"""

import heapq
import itertools
import random
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

import attrs

from currantline.hedging import HedgeLimit, ResponseTimes, estimate_load
from currantline.placement import (
    Candidate,
    LatencyAverages,
    LoadReport,
    PublishedTarget,
    Target,
    choose_candidate,
)
from currantline.placement._choice import KNEE_SLOWNESS, KNEE_UTILISATION
from currantline.routing import RetryBudget, RetryBudgetOptions

__all__ = ["Arm", "Load", "Model", "Result"]

SLOW_MS, NORMAL_MS, SLOWNESS = 300.0, 700.0, 4.0
WARM_UP_MS, RUN_MS = 120_000.0, 600_000.0
FIXED_SHARE, WINDOW_MS, MAX_LOAD, RETRY_SLACK = 0.45, 10_000.0, 0.6, 198.0
# Time after which a copy that is still queued is tied to a second one: two messages.
TIE_MS = 2.0
# Interval at which the first target is asked for its slowness.
CHECK_MS = 50.0


@attrs.frozen
class Load:
    """Load and fleet of one run; times in milliseconds."""

    per_s: float
    instances: int
    targets: int
    slots: int
    work_ms: float
    objective_ms: float
    long_share: float = 0.0


@attrs.frozen
class Arm:
    """A way to hedge: which targets are asked, and when a second copy is sent."""

    name: str
    kind: str = "none"
    probes: int = 4
    quantile: float = 0.95
    limit: float = 1.0
    window_ms: float = WINDOW_MS


class Result(NamedTuple):
    """Response times in milliseconds, hedges, and slot time for each request.

    ``worst`` is the highest share of hedges in the requests of 10 s.
    """

    p50: float
    p99: float
    p999: float
    hedges: float
    worst: float
    slot_ms: float


@attrs.define(eq=False)
class _Request:
    instance: int
    arrived_ms: float
    work_ms: float
    tried: list[int] = attrs.field(factory=list)
    running: dict[int, float] = attrs.field(factory=dict)
    is_done: bool = False


class Model:
    """One run; the same seed gives the same requests and hosts to each arm."""

    def __init__(self, load: Load, arm: Arm, seed: int) -> None:
        self.load, self.arm = load, arm
        self.load_rng, self.rng = random.Random(f"{seed} load"), random.Random(seed)
        self.hosts = [self._draw_host() for _ in range((load.targets + 1) // 2)]
        self.running = [0] * load.targets
        self.queues: list[deque[_Request]] = [deque() for _ in range(load.targets)]
        self.targets = [self._make_target(n) for n in range(load.targets)]
        options = RetryBudgetOptions(slack=RETRY_SLACK, window_ms=WINDOW_MS)
        self.budgets = [RetryBudget(options) for _ in range(load.instances)]
        self.limits = [HedgeLimit(arm.limit, arm.window_ms) for _ in self.budgets]
        self.times = [ResponseTimes() for _ in self.budgets]
        self.averages = LatencyAverages()
        self.now, self.slot_ms = 0.0, 0.0
        # By window.
        self.hedges: Counter[int] = Counter()
        self.arrivals: Counter[int] = Counter()
        self.took_ms: list[float] = []
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def run(self) -> Result:
        """Run to the end and return the result."""
        self._schedule(0.0, self._arrive)
        while self.events[0][0] < RUN_MS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        count, times = len(self.took_ms), sorted(self.took_ms)
        p50, p99, p999 = (times[int(share * count)] for share in (0.5, 0.99, 0.999))
        worst = max(self.hedges[n] / self.arrivals[n] for n in self.arrivals)
        hedges = self.hedges.total() / count
        return Result(p50, p99, p999, hedges, worst, self.slot_ms / count)

    def _draw_host(self) -> list[float]:
        changes, means = [0.0], itertools.cycle((NORMAL_MS, SLOW_MS))
        while changes[-1] < 1.1 * RUN_MS:
            changes.append(changes[-1] + self.load_rng.expovariate(1 / next(means)))
        return changes

    def _make_target(self, number: int) -> Target:
        fields: dict[str, Any] = {
            "address": "10.0.0.1:80",
            "service": "s",
            "data_centre": "a",
        }
        published = PublishedTarget(name=f"{number}", slots=self.load.slots, **fields)
        return Target(published)

    def _schedule(self, wait_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + wait_ms, next(self.numbers), action))

    def _arrive(self) -> None:
        rng, load, arm = self.load_rng, self.load, self.arm
        work_ms = load.work_ms * max(0.1, rng.gauss(1.0, 0.3))
        work_ms *= 7.0 if rng.random() < load.long_share else 1.0
        request = _Request(rng.randrange(load.instances), self.now, work_ms)
        self._schedule(rng.expovariate(load.per_s / 1000), self._arrive)
        if self.now >= WARM_UP_MS:
            self.arrivals[int(self.now // WINDOW_MS)] += 1
        self.budgets[request.instance].record_request(self.now)
        self.limits[request.instance].record_request(self.now)
        first = self._choose(request, arm.probes, is_hedge=False)
        assert first is not None
        self._send(request, first)
        if arm.kind == "delay":
            known_ms = self.times[request.instance].find_quantile(arm.quantile)
            is_fixed = known_ms is None or not arm.quantile
            delay_ms = FIXED_SHARE * load.objective_ms if is_fixed else known_ms
            self._schedule(delay_ms or 0.0, lambda: self._hedge(request))
        elif arm.kind == "tied" and not request.running:
            self._schedule(TIE_MS, lambda: self._hedge(request))
        elif arm.kind == "slow":
            self._schedule(CHECK_MS, lambda: self._check(request))

    def _check(self, request: _Request) -> None:
        if request.is_done:
            return
        if self._is_slow(request.tried[0]):
            self._hedge(request)
        if len(request.tried) == 1:
            self._schedule(CHECK_MS, lambda: self._check(request))

    def _is_slow(self, target: int) -> bool:
        return bisect_right(self.hosts[target // 2], self.now) % 2 == 0

    def _choose(self, request: _Request, probes: int, *, is_hedge: bool) -> int | None:
        chosen = self.rng.sample(range(self.load.targets), probes + is_hedge)
        candidates = [
            Candidate(self.targets[n], self._report(n))
            for n in chosen
            if n not in request.tried
        ]
        if is_hedge:
            load = estimate_load(c.report for c in candidates)
            # The fixed delay has no such check.
            if self.arm.quantile and load is not None and load > MAX_LOAD:
                return None
            candidates = [c for c in candidates if c.is_mostly_idle]
        average_ms = self.averages.read("r")
        best = choose_candidate(candidates, average_ms, self.now, self.rng)
        return None if best is None else int(best[0].target.name)

    def _report(self, target: int) -> LoadReport:
        return LoadReport(
            running=self.running[target],
            waiting=len(self.queues[target]),
            slots=self.load.slots,
            slowness=SLOWNESS if self._is_slow(target) else 1.0,
            requested_ms=self.now,
        )

    def _hedge(self, request: _Request) -> None:
        is_tied = self.arm.kind == "tied"
        if request.is_done or (is_tied and request.running):
            return
        limit, budget = self.limits[request.instance], self.budgets[request.instance]
        target = self._choose(request, min(3, self.arm.probes), is_hedge=True)
        if target is None or not limit.has_room(self.now):
            return
        if budget.try_acquire(self.now, self.load.instances):
            limit.record_hedge(self.now)
            if request.arrived_ms >= WARM_UP_MS:
                self.hedges[int(self.now // WINDOW_MS)] += 1
            self._send(request, target)

    def _send(self, request: _Request, target: int) -> None:
        request.tried.append(target)
        self.queues[target].append(request)
        self._start_next(target)

    def _start_next(self, target: int) -> None:
        queue, slots = self.queues[target], self.load.slots
        while queue and self.running[target] < slots:
            request = queue.popleft()
            self.running[target] += 1
            request.running[target] = self.now
            is_above = self.running[target] / slots > KNEE_UTILISATION
            work_ms = request.work_ms * (KNEE_SLOWNESS if is_above else 1.0)
            end_ms = self._find_end(self.hosts[target // 2], work_ms)
            self._schedule(end_ms - self.now, partial(self._finish, request, target))
            if self.arm.kind == "tied":
                self._withdraw(request)

    def _find_end(self, changes: list[float], work_ms: float) -> float:
        time, index = self.now, bisect_right(changes, self.now)
        while index < len(changes):
            speed = 1.0 if index % 2 else 1.0 / SLOWNESS
            if time + work_ms / speed <= changes[index]:
                return time + work_ms / speed
            work_ms -= (changes[index] - time) * speed
            time, index = changes[index], index + 1
        return time + work_ms

    def _finish(self, request: _Request, target: int) -> None:
        if request.is_done:
            return
        request.is_done = True
        took_ms = self.now - request.arrived_ms
        # Ended by a hedge, the first copy took at least this long.
        self.times[request.instance].record(took_ms)
        self.averages.record("r", self.now - request.running[target])
        if request.arrived_ms >= WARM_UP_MS:
            self.took_ms.append(took_ms)
            self.slot_ms += sum(self.now - each for each in request.running.values())
        self._withdraw(request)
        for each in request.running:
            self.running[each] -= 1
            self._start_next(each)

    def _withdraw(self, request: _Request) -> None:
        for target in request.tried:
            if request in self.queues[target]:
                self.queues[target].remove(request)
