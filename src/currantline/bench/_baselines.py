"""Baselines that the dispatcher is measured against."""

import random
from collections import Counter, deque
from collections.abc import Callable

from currantline.bench._simulation import Simulation
from currantline.bench._workload import CALLERS, WITHIN_MS, Job

__all__ = ["IndependentChoice", "SingleQueue", "least", "power_of_two", "uniform"]

ADDRESS_TTL_MS = 2000.0

Choose = Callable[[Counter[int], int, random.Random], int]


def uniform(own: Counter[int], targets: int, rng: random.Random) -> int:
    """Choose any target."""
    return rng.randrange(targets)


def power_of_two(own: Counter[int], targets: int, rng: random.Random) -> int:
    """Choose the target with fewer own requests in flight of two."""
    pair = rng.sample(range(targets), 2)
    return min(pair, key=own.__getitem__)


def least(own: Counter[int], targets: int, rng: random.Random) -> int:
    """Choose one of the targets with the fewest own requests in flight."""
    fewest = min(own[target] for target in range(targets))
    return rng.choice([t for t in range(targets) if own[t] == fewest])


class IndependentChoice:
    """Instances that choose a target at once, each by what it knows itself.

    Parameters
    ----------
    simulation : Simulation
        The run.
    choose : callable
        Choice of the target.
    rng : random.Random
        Source of choices.
    """

    def __init__(
        self, simulation: Simulation, choose: Choose, rng: random.Random
    ) -> None:
        self._simulation = simulation
        self._choose = choose
        self._rng = rng
        count = simulation.deployment.instances
        self._own: list[Counter[int]] = [Counter() for _ in range(count)]
        self._addresses = [0] * CALLERS
        self._asked = [-rng.random() * ADDRESS_TTL_MS for _ in range(CALLERS)]
        self._addresses = [rng.randrange(count) for _ in range(CALLERS)]
        self._instances: dict[int, int] = {}

    def arrive(self, job: Job) -> None:
        """Send the request to a target at once."""
        now = self._simulation.now
        if now - self._asked[job.caller] >= ADDRESS_TTL_MS:
            self._asked[job.caller] = now
            self._addresses[job.caller] = self._rng.randrange(len(self._own))
        instance = self._addresses[job.caller]
        own = self._own[instance]
        target = self._choose(own, self._simulation.deployment.targets, self._rng)
        own[target] += 1
        self._instances[job.index] = instance
        deployment = self._simulation.deployment
        self._simulation.send(
            job,
            target,
            path_ms=deployment.distance(instance, target),
            caller_ms=deployment.caller_distance(job.caller, instance),
        )

    def end(self, job: Job, target: int, *, is_useful: bool) -> None:
        """Count the request as ended."""
        self._own[self._instances.pop(job.index)][target] -= 1


class SingleQueue:
    """One queue that knows every slot and every length.

    It is as far from each target as an instance in the data centre of the target,
    and from each caller as an instance in its nearest data centre. Short requests go
    first; a target runs at most all but one long request.

    Parameters
    ----------
    simulation : Simulation
        The run.
    spare : int
        Free slots that must remain on a target where a long request starts.
    """

    def __init__(self, simulation: Simulation, *, spare: int = 0) -> None:
        self._simulation = simulation
        self._spare = spare
        deployment = simulation.deployment
        self._free = [deployment.slots] * deployment.targets
        self._long = [0] * deployment.targets
        self._short_waiting: deque[Job] = deque()
        self._long_waiting: deque[Job] = deque()

    def arrive(self, job: Job) -> None:
        """Queue the request and start what can start."""
        (self._long_waiting if job.is_long else self._short_waiting).append(job)
        self._advance()

    def end(self, job: Job, target: int, *, is_useful: bool) -> None:
        """Free the slot."""
        self._free[target] += 1
        self._long[target] -= job.is_long
        self._advance()

    def _advance(self) -> None:
        while self._short_waiting:
            target = max(range(len(self._free)), key=self._free.__getitem__)
            if not self._free[target]:
                return
            self._start(self._short_waiting.popleft(), target)
        most = self._simulation.deployment.slots - 1
        while self._long_waiting:
            fits = [
                target
                for target, free in enumerate(self._free)
                if free > self._spare and self._long[target] < most
            ]
            if not fits:
                return
            target = max(fits, key=self._free.__getitem__)
            self._start(self._long_waiting.popleft(), target)

    def _start(self, job: Job, target: int) -> None:
        if self._simulation.now > job.deadline:
            self._simulation.results.count_refusal(job)
            return
        self._free[target] -= 1
        self._long[target] += job.is_long
        caller_ms = self._simulation.deployment.caller_ms
        self._simulation.send(job, target, path_ms=WITHIN_MS, caller_ms=caller_ms)
