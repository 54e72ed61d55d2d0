"""Dispatch decisions of one instance for all services."""

import itertools
import random
from collections.abc import Collection, Mapping

import attrs

from currantline.admission import WorkItem
from currantline.configuration import Service
from currantline.directory import Ownership
from currantline.dispatch._counts import ServiceCounts
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
from currantline.dispatch._pool import ServicePool
from currantline.exceptions import InvariantError
from currantline.forwarding import AttemptResult

__all__ = ["Dispatcher"]


class Dispatcher:
    """Decides when each request starts and on which target.

    All methods that change state, except `set_service`, take the time in ms and
    return the effects to apply, in order.

    Parameters
    ----------
    name : str
        Name of this instance.
    rng : random.Random
        Random number generator.
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
        # Removed services some of whose requests still run.
        self._retired: set[str] = set()
        self._requests: dict[str, ServicePool] = {}
        # Due times of the pools that are not idle. `tick` and `next_due` consider only
        # these, since few of an instance's services have requests at any one time.
        self._due_times: dict[ServicePool, float] = {}
        # A random start keeps the identifiers distinct from those that the instance
        # used before a restart.
        self._loan_ids = itertools.count(rng.getrandbits(48))

    def set_service(self, service: Service) -> None:
        """Add a service or apply its changed configuration."""
        pool = self._pools.get(service.name)
        if pool is None:
            pool = ServicePool(
                self._name, service, self._rng, self._options, self._loan_ids.__next__
            )
            self._pools[service.name] = pool
        else:
            pool.set_service(service)
        self._retired.discard(service.name)
        self._remove_targets(pool)
        for target in service.targets:
            self._targets[target.name] = pool

    def retain_services(self, names: Collection[str], now: float) -> list[Effect]:
        """Remove all other services once none of their requests runs.

        Their waiting requests are refused.
        """
        effects: list[Effect] = []
        for name in sorted(self._pools.keys() - set(names) - self._retired):
            pool = self._pools[name]
            self._retired.add(name)
            self._remove_targets(pool)
            effects += self._record(pool, pool.retire(now), now)
        self._remove_retired()
        return effects

    def set_ownership(
        self, service: str, ownership: Ownership, now: float
    ) -> list[Effect]:
        """Apply the current owners of a service."""
        pool = self._pools.get(service)
        return (
            self._record(pool, pool.set_ownership(ownership, now), now) if pool else []
        )

    def set_limit(
        self, target: str, slots: int, now: float, *, accepts_loans: bool | None = None
    ) -> list[Effect]:
        """Set how many slots of a target may be used now; initially 0.

        Parameters
        ----------
        target : str
            Name of the target.
        slots : int
            Number of slots, on this instance's own evidence.
        now : float
            Time in ms.
        accepts_loans : bool, optional
            Whether a slot may be used on the evidence of the owner that lends it.
            Defaults to whether ``slots`` is positive.
        """
        pool = self._targets.get(target)
        if pool is None:
            return []
        accepts = slots > 0 if accepts_loans is None else accepts_loans
        pool.slot_tracker.set_limit(target, slots, accepts_loans=accepts)
        return self._record(pool, pool.advance(now), now)

    def submit(self, work: WorkItem, now: float) -> list[Effect]:
        """Submit a request, which is started or refused now or later.

        Raises
        ------
        InvariantError
            If a request with the same identifier waits or runs.
        """
        if work.request_id in self._requests:
            raise InvariantError(f"request {work.request_id} already waits or runs")
        pool = self._pools.get(work.service)
        if pool is None or work.service in self._retired:
            return [Refuse(work.request_id, "no-target")]
        self._requests[work.request_id] = pool
        return self._record(pool, pool.submit(work, now), now)

    def finish(
        self, request_id: str, result: AttemptResult, now: float
    ) -> list[Effect]:
        """Record the end of a running request.

        Raises
        ------
        InvariantError
            If the request is not running.
        """
        pool = self._requests.get(request_id)
        if pool is None or request_id not in pool.running:
            raise InvariantError(f"request {request_id} is not running")
        del self._requests[request_id]
        effects = self._record(pool, pool.finish(request_id, result, now), now)
        self._remove_retired()
        return effects

    def cancel(self, request_id: str, now: float) -> list[Effect]:
        """Remove a waiting or running request whose caller has disconnected."""
        pool = self._requests.get(request_id)
        if pool is None:
            return []
        if request_id in pool.running:
            return self.finish(request_id, AttemptResult.CANCELLED, now)
        del self._requests[request_id]
        return self._record(pool, pool.cancel(request_id, now), now)

    def receive(self, sender: str, message: Message, now: float) -> list[Effect]:
        """Handle a message from another instance."""
        if isinstance(message, Renew | Return):
            return self._receive_loan(sender, message, now)
        pool = self._pools.get(message.service)
        if pool is None:
            return []
        if isinstance(message, Demand):
            return self._record(pool, pool.receive_demand(sender, message, now), now)
        if isinstance(message, Lend):
            return self._record(pool, pool.receive_lend(sender, message, now), now)
        return self._record(pool, pool.receive_usage(sender, message, now), now)

    def tick(self, now: float) -> list[Effect]:
        """Do what is due by time alone, see `next_due`."""
        effects: list[Effect] = []
        for pool in list(self._due_times):
            effects += self._record(pool, pool.advance(now), now)
        return effects

    def next_due(self, now: float) -> float:
        """Return when `tick` is due next, or infinity."""
        return min(self._due_times.values(), default=float("inf"))

    def reset(self, now: float) -> list[Effect]:
        """Discard loans, reports and limits after a pause of this process."""
        effects: list[Effect] = []
        for pool in self._pools.values():
            effects += self._record(pool, pool.reset(now), now)
        return effects

    def counts(self, now: float) -> Mapping[str, ServiceCounts]:
        """Return the state of each service for metrics."""
        return {name: _count(pool, now) for name, pool in self._pools.items()}

    def list_starved(self, now: float) -> list[str]:
        """Return services whose requests wait while no owner responds."""
        return [name for name, pool in self._pools.items() if pool.is_starved(now)]

    def check(self) -> None:
        """Check the slot counts of all services.

        Raises
        ------
        InvariantError
            If a count is inconsistent.
        """
        for pool in self._pools.values():
            pool.slot_tracker.check(pool.running)

    def _receive_loan(
        self, sender: str, message: Renew | Return, now: float
    ) -> list[Effect]:
        for pool in self._pools.values():
            lent = pool.slot_tracker.find_lent(message.loan_id)
            if lent is None:
                continue
            if isinstance(message, Renew):
                return self._record(pool, pool.receive_renew(sender, lent, now), now)
            return self._record(pool, pool.receive_return(sender, lent, now), now)
        # The lease has ended, or the target has another owner now.
        return []

    def _remove_targets(self, pool: ServicePool) -> None:
        kept = {name: other for name, other in self._targets.items() if other != pool}
        self._targets = kept

    def _remove_retired(self) -> None:
        for name in [n for n in self._retired if self._pools[n].is_empty]:
            self._due_times.pop(self._pools[name], None)
            del self._pools[name]
            self._retired.remove(name)

    def _record(
        self, pool: ServicePool, effects: list[Effect], now: float
    ) -> list[Effect]:
        for effect in effects:
            if isinstance(effect, Refuse):
                del self._requests[effect.request_id]
        due = pool.next_due(now)
        if due < float("inf") or not pool.is_idle:
            self._due_times[pool] = due
        else:
            self._due_times.pop(pool, None)
        return effects


def _count(pool: ServicePool, now: float) -> ServiceCounts:
    waiting = pool.queue.summary(now)
    return ServiceCounts(
        short_waiting=waiting.short_waiting,
        long_waiting=waiting.long_waiting,
        running=len(pool.running),
        free_slots=pool.slot_tracker.count_free(),
        lent_slots=pool.slot_tracker.count_lent(),
        borrowed_slots=len(pool.loans),
        loans_made=pool.lender.loan_count,
        totals=attrs.evolve(pool.counts),
    )
