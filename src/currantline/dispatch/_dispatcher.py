"""The decision core of one instance over all services."""

import itertools
import random
from collections.abc import Mapping

import attrs

from currantline.admission import Work
from currantline.configuration import Service
from currantline.directory import Ownership
from currantline.dispatch._messages import (
    Demand,
    Effect,
    Lend,
    Message,
    Refuse,
    Renew,
    Return,
)
from currantline.dispatch._options import DispatchOptions
from currantline.dispatch._pool import PoolCounts, ServicePool
from currantline.exceptions import InvariantError
from currantline.forwarding import AttemptResult

__all__ = ["Dispatcher", "ServiceCounts"]


@attrs.frozen(kw_only=True)
class ServiceCounts:
    """State of one service at one instance, for metrics.

    Parameters
    ----------
    short_waiting : int
        Short requests that wait.
    long_waiting : int
        Other requests that wait.
    running : int
        Requests that run.
    free_slots : int
        Free slots of owned targets.
    lent_slots : int
        Slots lent to other instances.
    borrowed_slots : int
        Slots borrowed from other instances.
    loans_made : int
        Loans made since the start.
    totals : PoolCounts
        Counters since the start.
    """

    short_waiting: int
    long_waiting: int
    running: int
    free_slots: int
    lent_slots: int
    borrowed_slots: int
    loans_made: int
    totals: PoolCounts


class Dispatcher:
    """Decides when each request starts and on which target.

    Every method that changes something takes the time in ms and returns the
    effects to carry out, in order.

    Parameters
    ----------
    name : str
        Name of this instance.
    rng : random.Random
        Source of choices.
    options : DispatchOptions, optional
        Durations and limits.
    """

    def __init__(
        self, name: str, rng: random.Random, options: DispatchOptions | None = None
    ) -> None:
        self._name = name
        self._rng = rng
        self._options = options or DispatchOptions()
        self._pools: dict[str, ServicePool] = {}
        self._targets: dict[str, ServicePool] = {}
        self._requests: dict[str, ServicePool] = {}
        # A random start keeps the identifiers of a restarted instance apart from
        # those of its former life.
        self._loan_ids = itertools.count(rng.getrandbits(48))

    def set_service(self, service: Service) -> None:
        """Add a service or take over its changed configuration."""
        pool = self._pools.get(service.name)
        if pool is None:
            pool = ServicePool(
                self._name, service, self._rng, self._options, self._loan_ids.__next__
            )
            self._pools[service.name] = pool
        else:
            pool.set_service(service)
        for target in service.targets:
            self._targets[target.name] = pool

    def set_ownership(
        self, service: str, ownership: Ownership, now: float
    ) -> list[Effect]:
        """Take over the owners of a service."""
        pool = self._pools.get(service)
        return self._note(pool.set_ownership(ownership, now)) if pool else []

    def set_limit(self, target: str, slots: int, now: float) -> list[Effect]:
        """Set how many slots of a target may be used now; 0 until it is set."""
        pool = self._targets.get(target)
        if pool is None:
            return []
        pool.ledger.set_limit(target, slots)
        return self._note(pool.advance(now))

    def submit(self, work: Work, now: float) -> list[Effect]:
        """Take a request; it is started or refused now or later.

        Raises
        ------
        InvariantError
            If a request of that identifier waits or runs.
        """
        if work.request_id in self._requests:
            raise InvariantError(f"request {work.request_id} is already present")
        pool = self._pools.get(work.service)
        if pool is None:
            return [Refuse(work.request_id, "no-target")]
        self._requests[work.request_id] = pool
        return self._note(pool.submit(work, now))

    def finish(
        self, request_id: str, result: AttemptResult, now: float
    ) -> list[Effect]:
        """Take note that a started request has ended.

        Raises
        ------
        InvariantError
            If the request does not run.
        """
        pool = self._requests.get(request_id)
        if pool is None or request_id not in pool.running:
            raise InvariantError(f"request {request_id} does not run")
        del self._requests[request_id]
        return self._note(pool.finish(request_id, result, now))

    def cancel(self, request_id: str, now: float) -> list[Effect]:
        """Forget a request whose caller has gone, whether it waits or runs."""
        pool = self._requests.get(request_id)
        if pool is None:
            return []
        if request_id in pool.running:
            return self.finish(request_id, AttemptResult.CANCELLED, now)
        del self._requests[request_id]
        pool.queue.remove(request_id)
        return self._note(pool.advance(now))

    def receive(self, sender: str, message: Message, now: float) -> list[Effect]:
        """Take a message from another instance."""
        if isinstance(message, Renew | Return):
            return self._receive_loan(sender, message, now)
        pool = self._pools.get(message.service)
        if pool is None:
            return []
        if isinstance(message, Demand):
            return self._note(pool.receive_demand(sender, message, now))
        if isinstance(message, Lend):
            return self._note(pool.receive_lend(sender, message, now))
        return self._note(pool.receive_usage(sender, message, now))

    def tick(self, now: float) -> list[Effect]:
        """Do what is due without an event, see `next_due`."""
        effects: list[Effect] = []
        for pool in self._pools.values():
            effects += self._note(pool.advance(now))
        return effects

    def next_due(self, now: float, service: str | None = None) -> float:
        """Return when `tick` is needed next, for one service or all, or infinity."""
        if service is not None:
            pool = self._pools.get(service)
            return pool.next_due(now) if pool else float("inf")
        dues = [pool.next_due(now) for pool in self._pools.values()]
        return min(dues, default=float("inf"))

    def reset(self, now: float) -> list[Effect]:
        """Discard loans and reports after this process was paused."""
        effects: list[Effect] = []
        for pool in self._pools.values():
            effects += self._note(pool.reset(now))
        return effects

    def counts(self, now: float) -> Mapping[str, ServiceCounts]:
        """Return the state of each service for metrics."""
        return {name: _count(pool, now) for name, pool in self._pools.items()}

    def check(self) -> None:
        """Check the counts of all slots.

        Raises
        ------
        InvariantError
            If a count is wrong.
        """
        for pool in self._pools.values():
            pool.ledger.check(pool.running)

    def _receive_loan(
        self, sender: str, message: Renew | Return, now: float
    ) -> list[Effect]:
        for pool in self._pools.values():
            lent = pool.ledger.find_lent(message.loan_id)
            if lent is None:
                continue
            if isinstance(message, Renew):
                return self._note(pool.receive_renew(sender, lent, now))
            return self._note(pool.receive_return(sender, lent, now))
        # The lease has ended or the target has another owner.
        return []

    def _note(self, effects: list[Effect]) -> list[Effect]:
        for effect in effects:
            if isinstance(effect, Refuse):
                del self._requests[effect.request_id]
        return effects


def _count(pool: ServicePool, now: float) -> ServiceCounts:
    waiting = pool.queue.summary(now)
    return ServiceCounts(
        short_waiting=waiting.short_waiting,
        long_waiting=waiting.long_waiting,
        running=len(pool.running),
        free_slots=pool.ledger.count_free(),
        lent_slots=pool.ledger.count_lent(),
        borrowed_slots=len(pool.loans),
        loans_made=pool.lender.lent,
        totals=attrs.evolve(pool.counts),
    )
