"""Baselines that the dispatcher is measured against."""

import random
from collections import Counter, deque
from collections.abc import Callable

from currantline.bench._simulation import Simulation
from currantline.bench._workload import CALLERS, SAME_DATA_CENTRE_MS, Job

__all__ = [
    "IndependentChoice",
    "SingleQueue",
    "least_in_flight",
    "power_of_two",
    "uniform",
]

ADDRESS_TTL_MS = 2000.0

TargetChooser = Callable[[Counter[int], int, random.Random], int]


def uniform(in_flight: Counter[int], targets: int, rng: random.Random) -> int:
    """Choose any target."""
    return rng.randrange(targets)


def power_of_two(in_flight: Counter[int], targets: int, rng: random.Random) -> int:
    """Choose the one of two random targets with fewer requests in flight."""
    pair = rng.sample(range(targets), 2)
    return min(pair, key=in_flight.__getitem__)


def least_in_flight(in_flight: Counter[int], targets: int, rng: random.Random) -> int:
    """Choose a random target among those with the fewest requests in flight."""
    min_in_flight = min(in_flight[target] for target in range(targets))
    return rng.choice([t for t in range(targets) if in_flight[t] == min_in_flight])


class IndependentChoice:
    """Instances that choose a target on arrival, each from its local state only.

    Parameters
    ----------
    simulation : Simulation
        The simulation.
    choose : callable
        Function that chooses the target.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self, simulation: Simulation, choose: TargetChooser, rng: random.Random
    ) -> None:
        self._simulation = simulation
        self._choose = choose
        self._rng = rng
        count = simulation.deployment.instances
        self._in_flight: list[Counter[int]] = [Counter() for _ in range(count)]
        self._addresses = [0] * CALLERS
        self._resolved_at = [-rng.random() * ADDRESS_TTL_MS for _ in range(CALLERS)]
        self._addresses = [rng.randrange(count) for _ in range(CALLERS)]
        self._instances: dict[int, int] = {}

    def on_arrival(self, job: Job) -> None:
        """Send the request to a target at once."""
        now = self._simulation.now
        if now - self._resolved_at[job.caller] >= ADDRESS_TTL_MS:
            self._resolved_at[job.caller] = now
            self._addresses[job.caller] = self._rng.randrange(len(self._in_flight))
        instance = self._addresses[job.caller]
        in_flight = self._in_flight[instance]
        target = self._choose(in_flight, self._simulation.deployment.targets, self._rng)
        in_flight[target] += 1
        self._instances[job.index] = instance
        deployment = self._simulation.deployment
        self._simulation.send(
            job,
            target,
            target_latency_ms=deployment.latency(instance, target),
            caller_latency_ms=deployment.caller_latency(job.caller, instance),
        )

    def on_completion(self, job: Job, target: int, *, met_deadline: bool) -> None:
        """Decrement the in-flight count of the target."""
        self._in_flight[self._instances.pop(job.index)][target] -= 1


class SingleQueue:
    """A central queue that knows all free slots and whether each request is long.

    Its latency to a target is that of an instance in the data centre of the target,
    and to a caller that of an instance in the nearest data centre. Short requests go
    first; long requests use at most all but one slot of a target.

    Parameters
    ----------
    simulation : Simulation
        The simulation.
    reserved_slots : int
        Number of slots that must stay free on a target after a long request starts.
    """

    def __init__(self, simulation: Simulation, *, reserved_slots: int = 0) -> None:
        self._simulation = simulation
        self._reserved_slots = reserved_slots
        deployment = simulation.deployment
        self._free = [deployment.slots] * deployment.targets
        self._long = [0] * deployment.targets
        self._short_waiting: deque[Job] = deque()
        self._long_waiting: deque[Job] = deque()

    def on_arrival(self, job: Job) -> None:
        """Queue the request and start all requests that fit."""
        (self._long_waiting if job.is_long else self._short_waiting).append(job)
        self._start_waiting()

    def on_completion(self, job: Job, target: int, *, met_deadline: bool) -> None:
        """Free the slot."""
        self._free[target] += 1
        self._long[target] -= job.is_long
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._short_waiting:
            target = max(range(len(self._free)), key=self._free.__getitem__)
            if not self._free[target]:
                return
            self._start(self._short_waiting.popleft(), target)
        max_long = self._simulation.deployment.slots - 1
        while self._long_waiting:
            candidates = [
                target
                for target, free in enumerate(self._free)
                if free > self._reserved_slots and self._long[target] < max_long
            ]
            if not candidates:
                return
            target = max(candidates, key=self._free.__getitem__)
            self._start(self._long_waiting.popleft(), target)

    def _start(self, job: Job, target: int) -> None:
        if self._simulation.now > job.deadline:
            self._simulation.results.record_refusal(job)
            return
        self._free[target] -= 1
        self._long[target] += job.is_long
        caller_latency_ms = self._simulation.deployment.caller_latency_ms
        self._simulation.send(
            job,
            target,
            target_latency_ms=SAME_DATA_CENTRE_MS,
            caller_latency_ms=caller_latency_ms,
        )
