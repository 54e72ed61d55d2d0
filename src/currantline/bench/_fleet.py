"""Simulated fleet that runs the production dispatcher on every instance."""

import random
from functools import partial

from currantline.admission import WorkItem
from currantline.bench._baselines import ADDRESS_TTL_MS
from currantline.bench._placement import Placement, place_owners
from currantline.bench._simulation import Simulation
from currantline.bench._workload import CALLERS, Job
from currantline.configuration import Service, Target
from currantline.dispatch import (
    Dispatcher,
    DispatchOptions,
    Effect,
    Message,
    Refuse,
    Start,
)
from currantline.forwarding import AttemptResult
from currantline.peer import Envelope
from currantline.peer._codec import encode_envelope

__all__ = ["Fleet"]

# HTTP/2 bytes per call in addition to the message, from `currantline.bench.gossip`.
CALL_OVERHEAD_BYTES = 65
RANDOM_INSTANCE_SHARE = 0.1


class Fleet:
    """Instances that each run a dispatcher.

    Parameters
    ----------
    simulation : Simulation
        The simulation.
    rng : random.Random
        Source of randomness.
    options : DispatchOptions
        Options of every dispatcher.
    slots_per_owner : int
        Number of slots per owner.
    placement : Placement
        Where owners run, and which of them callers are directed to.
    with_messages : bool
        Whether messages between instances are delivered.
    """

    def __init__(
        self,
        simulation: Simulation,
        rng: random.Random,
        *,
        options: DispatchOptions,
        slots_per_owner: int,
        placement: Placement,
        with_messages: bool = True,
    ) -> None:
        deployment = simulation.deployment
        self._simulation = simulation
        self._rng = rng
        self._with_messages = with_messages
        self._service = _make_service(simulation, slots_per_owner)
        self._names = [f"instance-{i}" for i in range(deployment.instances)]
        self._numbers = {name: i for i, name in enumerate(self._names)}
        self._placement = placement
        data_centres_by_name = {
            name: f"{i % deployment.data_centres}" for name, i in self._numbers.items()
        }
        self._ownership = place_owners(self._service, data_centres_by_name, placement)
        self._dispatchers = {
            name: Dispatcher(name, random.Random(rng.random()), options)
            for name in self._names
        }
        self._wakeups: dict[str, float] = dict.fromkeys(self._names, float("inf"))
        self._jobs: dict[str, tuple[Job, str]] = {}
        self._resolved_at = [-rng.random() * ADDRESS_TTL_MS for _ in range(CALLERS)]
        self._addresses = [self._resolve_address(caller) for caller in range(CALLERS)]
        for dispatcher in self._dispatchers.values():
            dispatcher.set_service(self._service)
            dispatcher.set_ownership("service", self._ownership, 0.0)
            for target in self._service.targets:
                dispatcher.set_limit(target.name, target.slots, 0.0)

    def on_arrival(self, job: Job) -> None:
        """Submit a request at the instance that its caller uses."""
        now = self._simulation.now
        if now - self._resolved_at[job.caller] >= ADDRESS_TTL_MS:
            self._resolved_at[job.caller] = now
            self._addresses[job.caller] = self._resolve_address(job.caller)
        name = self._addresses[job.caller]
        if self._rng.random() < RANDOM_INSTANCE_SHARE:
            name = self._rng.choice(self._names)
        work = WorkItem(
            request_id=str(job.index),
            service="service",
            route="long" if job.is_long else "short",
            deadline=job.deadline,
            arrived=job.arrived,
        )
        self._jobs[work.request_id] = (job, name)
        self._apply_effects(name, self._dispatchers[name].submit(work, now))

    def on_completion(self, job: Job, target: int, *, met_deadline: bool) -> None:
        """Report the end of a request to its dispatcher."""
        request_id = str(job.index)
        name = self._jobs.pop(request_id)[1]
        result = AttemptResult.ANSWERED if met_deadline else AttemptResult.TIMED_OUT
        effects = self._dispatchers[name].finish(
            request_id, result, self._simulation.now
        )
        self._apply_effects(name, effects)

    def _resolve_address(self, caller: int) -> str:
        # Owners are drawn with a weight of their slots; all targets have the same
        # number of slots.
        owners = list(self._ownership.targets.values())
        first = self._rng.choice(owners)
        if self._placement is not Placement.NEAR_CALLER:
            return first
        # Taking the nearer of two draws keeps the share of each owner if callers
        # are spread evenly over the data centres.
        pair = (first, self._rng.choice(owners))
        deployment = self._simulation.deployment
        return min(
            pair, key=lambda n: deployment.caller_latency(caller, self._numbers[n])
        )

    def _apply_effects(self, name: str, effects: list[Effect]) -> None:
        batches: dict[str, list[Message]] = {}
        number = self._numbers[name]
        deployment = self._simulation.deployment
        for effect in effects:
            if isinstance(effect, Start):
                job = self._jobs[effect.request_id][0]
                target = int(effect.target)
                self._simulation.send(
                    job,
                    target,
                    target_latency_ms=deployment.latency(number, target),
                    caller_latency_ms=deployment.caller_latency(job.caller, number),
                )
            elif isinstance(effect, Refuse):
                self._simulation.results.record_refusal(
                    self._jobs.pop(effect.request_id)[0]
                )
            else:
                batches.setdefault(effect.instance, []).append(effect.message)
        for instance, messages in batches.items():
            self._deliver(name, instance, messages)
        self._schedule_wakeup(name)

    def _deliver(self, sender: str, name: str, messages: list[Message]) -> None:
        if not self._with_messages:
            return
        source, destination = self._numbers[sender], self._numbers[name]
        self._record_call(source, Envelope(sender=sender, messages=tuple(messages)))
        at = self._simulation.now + self._simulation.deployment.latency(
            source, destination
        )
        for message in messages:
            self._simulation.schedule(at, partial(self._receive, sender, name, message))

    def _record_call(self, number: int, envelope: Envelope) -> None:
        results = self._simulation.results
        if self._simulation.now < results.warm_up_ms:
            return
        results.messages += len(envelope.messages)
        results.calls += 1
        size = encode_envelope(envelope).ByteSize() + CALL_OVERHEAD_BYTES
        results.sent_bytes[number] += size

    def _receive(self, sender: str, name: str, message: Message) -> None:
        effects = self._dispatchers[name].receive(sender, message, self._simulation.now)
        self._apply_effects(name, effects)

    def _schedule_wakeup(self, name: str) -> None:
        now = self._simulation.now
        due = max(now, self._dispatchers[name].next_due(now))
        if due < self._wakeups[name]:
            self._wakeups[name] = due
            self._simulation.schedule(due, partial(self._tick, name, due))

    def _tick(self, name: str, due: float) -> None:
        if self._wakeups[name] != due:
            return
        self._wakeups[name] = float("inf")
        self._apply_effects(name, self._dispatchers[name].tick(self._simulation.now))


def _make_service(simulation: Simulation, slots_per_owner: int) -> Service:
    deployment = simulation.deployment
    targets = tuple(
        Target(
            name=str(i),
            address="127.0.0.1:7000",
            data_centre=f"{i % deployment.data_centres}",
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
