"""The real dispatcher on every instance of a simulated fleet."""

import random
from functools import partial

from currantline.admission import Work
from currantline.bench._baselines import ADDRESS_TTL_MS
from currantline.bench._simulation import Simulation
from currantline.bench._workload import CALLERS, Job
from currantline.configuration import Service, Target
from currantline.directory import assign_owners
from currantline.dispatch import (
    Dispatcher,
    DispatchOptions,
    Effect,
    Message,
    Refuse,
    Send,
    Start,
)
from currantline.forwarding import AttemptResult

__all__ = ["Fleet"]

PEER_MS = 1.5
ANY_INSTANCE_SHARE = 0.1


class Fleet:
    """Instances with a dispatcher each.

    Parameters
    ----------
    simulation : Simulation
        The run.
    rng : random.Random
        Source of choices.
    options : DispatchOptions
        Options of every dispatcher.
    slots_per_owner : int
        Slots that one owner looks after.
    with_messages : bool
        Whether messages between instances arrive.
    """

    def __init__(
        self,
        simulation: Simulation,
        rng: random.Random,
        *,
        options: DispatchOptions,
        slots_per_owner: int,
        with_messages: bool = True,
    ) -> None:
        deployment = simulation.deployment
        self._simulation = simulation
        self._rng = rng
        self._with_messages = with_messages
        self._service = _make_service(simulation, slots_per_owner)
        self._names = [f"instance-{i}" for i in range(deployment.instances)]
        self._ownership = assign_owners(self._service, self._names)
        self._dispatchers = {
            name: Dispatcher(name, random.Random(rng.random()), options)
            for name in self._names
        }
        self._wake: dict[str, float] = dict.fromkeys(self._names, float("inf"))
        self._jobs: dict[str, tuple[Job, str]] = {}
        self._asked = [-rng.random() * ADDRESS_TTL_MS for _ in range(CALLERS)]
        self._addresses = [self._ask_address() for _ in range(CALLERS)]
        for dispatcher in self._dispatchers.values():
            dispatcher.set_service(self._service)
            dispatcher.set_ownership("service", self._ownership, 0.0)
            for target in self._service.targets:
                dispatcher.set_limit(target.name, target.slots, 0.0)

    def arrive(self, job: Job) -> None:
        """Pass a request to the instance that its caller uses."""
        now = self._simulation.now
        if now - self._asked[job.caller] >= ADDRESS_TTL_MS:
            self._asked[job.caller] = now
            self._addresses[job.caller] = self._ask_address()
        name = self._addresses[job.caller]
        if self._rng.random() < ANY_INSTANCE_SHARE:
            name = self._rng.choice(self._names)
        work = Work(
            request_id=str(job.index),
            service="service",
            route="long" if job.is_long else "short",
            deadline=job.deadline,
            arrived=job.arrived,
        )
        self._jobs[work.request_id] = (job, name)
        self._carry_out(name, self._dispatchers[name].submit(work, now))

    def end(self, job: Job, target: int, *, is_useful: bool) -> None:
        """Tell the dispatcher that a request has ended."""
        request_id = str(job.index)
        name = self._jobs.pop(request_id)[1]
        result = AttemptResult.ANSWERED if is_useful else AttemptResult.TIMED_OUT
        effects = self._dispatchers[name].finish(
            request_id, result, self._simulation.now
        )
        self._carry_out(name, effects)

    def _ask_address(self) -> str:
        # The first address is a draw weighted by owned slots; all targets have
        # the same number of slots.
        return self._rng.choice(list(self._ownership.targets.values()))

    def _carry_out(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Start):
                job = self._jobs[effect.request_id][0]
                self._simulation.send(job, int(effect.target))
            elif isinstance(effect, Refuse):
                self._simulation.results.count_refusal(
                    self._jobs.pop(effect.request_id)[0]
                )
            else:
                self._deliver(name, effect)
        self._schedule_wake(name)

    def _deliver(self, sender: str, send: Send) -> None:
        if not self._with_messages:
            return
        self._simulation.results.messages += 1
        at = self._simulation.now + PEER_MS
        event = partial(self._receive, sender, send.instance, send.message)
        self._simulation.schedule(at, event)

    def _receive(self, sender: str, name: str, message: Message) -> None:
        effects = self._dispatchers[name].receive(sender, message, self._simulation.now)
        self._carry_out(name, effects)

    def _schedule_wake(self, name: str) -> None:
        now = self._simulation.now
        due = max(now, self._dispatchers[name].next_due(now))
        if due < self._wake[name]:
            self._wake[name] = due
            self._simulation.schedule(due, partial(self._tick, name, due))

    def _tick(self, name: str, due: float) -> None:
        if self._wake[name] != due:
            return
        self._wake[name] = float("inf")
        self._carry_out(name, self._dispatchers[name].tick(self._simulation.now))


def _make_service(simulation: Simulation, slots_per_owner: int) -> Service:
    deployment = simulation.deployment
    targets = tuple(
        Target(
            name=str(i),
            address="127.0.0.1:7000",
            data_centre="north",
            slots=deployment.slots,
        )
        for i in range(deployment.targets)
    )
    return Service(
        name="service",
        targets=targets,
        timeout_ms=deployment.timeout_ms,
        slots_per_owner=slots_per_owner,
    )
