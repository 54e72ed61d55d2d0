"""Dispatch of one service: its queue, slots and loans."""

import random
from collections.abc import Callable

import attrs

from currantline.admission import (
    DurationEstimator,
    Rejected,
    WaitingQueue,
    WorkItem,
)
from currantline.configuration import Service
from currantline.directory import Ownership
from currantline.dispatch._avoidance import TargetAvoidance
from currantline.dispatch._counts import PoolTotals
from currantline.dispatch._lender import Lender
from currantline.dispatch._loans import BorrowedSlots, UsageReporter
from currantline.dispatch._messages import (
    Demand,
    Effect,
    Lend,
    Refuse,
    Start,
    Usage,
)
from currantline.dispatch._options import DispatchOptions, make_queue_options
from currantline.dispatch._reporting import DemandReporter
from currantline.dispatch._slots import (
    BorrowedSlot,
    LentSlot,
    RunningRequest,
    SlotTracker,
)
from currantline.forwarding import AttemptResult

__all__ = ["ServicePool"]

INFINITY = float("inf")
NO_OWNERS = Ownership(owners=(), targets={})


class ServicePool:
    """Decides which waiting request gets which slot of one service.

    Parameters
    ----------
    name : str
        Name of this instance.
    service : Service
        The service.
    rng : random.Random
        Random number generator.
    options : DispatchOptions
        Durations and limits.
    next_loan : callable
        Returns loan identifiers that are unique at this instance.
    """

    def __init__(
        self,
        name: str,
        service: Service,
        rng: random.Random,
        options: DispatchOptions,
        next_loan: Callable[[], int],
    ) -> None:
        self._name = name
        self._service = service
        self._options = options
        self.durations = DurationEstimator(long_factor=options.long_factor)
        self.queue = WaitingQueue(self.durations, make_queue_options(service, options))
        self.slot_tracker = SlotTracker(rng)
        self._avoidance = TargetAvoidance(self.slot_tracker, options.avoid_timeout_ms)
        self.counts = PoolTotals()
        self.running: dict[str, RunningRequest] = {}
        self.loans = BorrowedSlots()
        self.lender = Lender(
            service=service.name,
            slot_tracker=self.slot_tracker,
            queue=self.queue,
            durations=self.durations,
            options=options,
            next_loan=next_loan,
        )
        self._reports = DemandReporter(
            service=service.name,
            queue=self.queue,
            slot_tracker=self.slot_tracker,
            counts=self.counts,
            options=options,
            rng=rng,
        )
        self._usage = UsageReporter(service.name, options.lease_ms / 3)
        self._ownership = NO_OWNERS
        self._owners: list[str] = []
        self._last_contact = -INFINITY
        self._may_run_without_loan = False
        self.slot_tracker.set_targets({t.name: t.slots for t in service.targets})

    @property
    def is_idle(self) -> bool:
        """Whether the pool is empty and no other instance asks for slots."""
        is_needed = self.lender.demands.has_any or len(self.loans)
        return not (self.running or len(self.queue) or is_needed)

    def set_service(self, service: Service) -> None:
        """Apply a changed configuration of the service."""
        self._service = service
        self.queue.set_options(make_queue_options(service, self._options))
        self.slot_tracker.set_targets({t.name: t.slots for t in service.targets})
        self.slot_tracker.set_owned(self._find_owned())

    @property
    def is_empty(self) -> bool:
        """Whether no request waits or runs and no slot is borrowed."""
        return not (self.running or len(self.queue) or len(self.loans))

    def retire(self, now: float) -> list[Effect]:
        """Refuse waiting requests of a removed service; running ones continue."""
        waiting = self.queue.clear()
        self.counts.refused += len(waiting)
        self.set_service(attrs.evolve(self._service, targets=()))
        effects: list[Effect] = [Refuse(w.request_id, "no-target") for w in waiting]
        return effects + self.set_ownership(NO_OWNERS, now)

    def set_ownership(self, ownership: Ownership, now: float) -> list[Effect]:
        """Apply new owners.

        Running requests continue, and their slots are reported to the new owners.
        The new owners do not wait for such reports before they use slots that they
        believe to be free.
        """
        self._ownership = ownership
        self._owners = [name for name in ownership.owners if name != self._name]
        self.slot_tracker.set_owned(self._find_owned())
        self.lender.demands.clear()
        self._reports.planner.clear()
        self._last_contact = now
        self._may_run_without_loan = True
        effects: list[Effect] = [*self.loans.drop(now, dict(ownership.targets))]
        return effects + self.advance(now)

    def submit(self, work: WorkItem, now: float) -> list[Effect]:
        """Queue or refuse a request, and start all requests that can start."""
        result = self.queue.push(work, now)
        if isinstance(result, Rejected):
            self.counts.refused += 1
            return [Refuse(work.request_id, result.reason)]
        self._avoidance.add(work, now, self.queue.latest_start(work))
        return self.advance(now)

    def cancel(self, request_id: str, now: float) -> list[Effect]:
        """Remove a waiting request."""
        self.queue.remove(request_id)
        self._avoidance.remove(request_id)
        return self.advance(now)

    def finish(
        self, request_id: str, result: AttemptResult, now: float
    ) -> list[Effect]:
        """Free the slot of a request and record its duration."""
        running = self.running.pop(request_id)
        self.slot_tracker.finish(running)
        if result is AttemptResult.ANSWERED:
            self.durations.observe(running.route, now - running.started)
        if running.loan is not None:
            self.loans.release(running.loan)
        return self.advance(now)

    def receive_demand(self, sender: str, demand: Demand, now: float) -> list[Effect]:
        """Record the waiting requests and free slots of another instance."""
        if sender in self._owners:
            self._last_contact = now
            self._reports.planner.record_free(sender, demand.free_slots, now)
        if not self.slot_tracker.has_usable_target:
            return []
        self.lender.demands.record(sender, demand, now)
        effects = self.advance(now)
        if self.lender.demands.is_waiting(sender):
            effects += self._reports.acknowledge(sender, now)
        return effects

    def receive_lend(self, sender: str, lend: Lend, now: float) -> list[Effect]:
        """Use a lent slot or return it."""
        if self.loans.is_known(sender, lend.loan_id):
            return []
        if sender in self._owners:
            self._last_contact = now
        self._reports.planner.record_loan(sender)
        usable_until = self._reports.sent_reports.find_usable_until(lend.number, now)
        is_owned = self._ownership.targets.get(lend.target) == sender
        if usable_until is None or not is_owned:
            return [self.loans.decline(sender, lend, now)]
        self.loans.add(sender, lend, now, usable_until)
        self.counts.borrowed += 1
        return self.advance(now)

    def receive_renew(self, sender: str, lent: LentSlot, now: float) -> list[Effect]:
        """Extend the lease of a lent slot."""
        if lent.borrower == sender:
            lent.expires = now + self._options.lease_ms
        return []

    def receive_return(self, sender: str, lent: LentSlot, now: float) -> list[Effect]:
        """Take back a lent slot."""
        if lent.borrower != sender:
            return []
        self.slot_tracker.take_back(lent)
        return self.advance(now)

    def receive_usage(self, sender: str, usage: Usage, now: float) -> list[Effect]:
        """Record how many slots another instance uses without a loan."""
        until = now + self._options.lease_ms
        self.slot_tracker.record_usage(usage.target, sender, usage.in_use, until)
        return self.advance(now)

    def reset(self, now: float) -> list[Effect]:
        """Discard outdated state after a pause; limits have to be set again."""
        self.slot_tracker.clear_limits()
        self._may_run_without_loan = True
        effects: list[Effect] = [*self.loans.drop(now)]
        self.lender.demands.clear()
        self._reports.planner.clear()
        self._reports.sent_reports.clear()
        self._last_contact = now
        return effects + self.advance(now)

    def advance(self, now: float) -> list[Effect]:
        """Do all that is due.

        Parameters
        ----------
        now : float
            Time in ms.

        Returns
        -------
        list of Effect
            Starts, refusals and messages.
        """
        effects: list[Effect] = []
        for work in self.queue.expire(now):
            self.counts.refused += 1
            self._avoidance.remove(work.request_id)
            effects.append(Refuse(work.request_id, "deadline"))
        self.counts.reverted += len(self.slot_tracker.expire(now))
        self.lender.demands.expire(now)
        held = len(self.loans)
        effects += self.loans.renew(now)
        # A request continues to use its slot after the loan has ended.
        self._may_run_without_loan |= len(self.loans) < held
        while self._allocate_one(now, effects):
            pass
        effects += self.loans.return_idle(now)
        effects += self._reports.report(self._owners, now)
        self._report_usage(now, effects)
        return effects

    def next_due(self, now: float) -> float:
        """Return when `advance` is due next by time alone, or infinity."""
        due = min(
            self.queue.next_expiry(),
            self.slot_tracker.next_expiry(),
            self.loans.next_due(),
            self._usage.next_due(),
            self._avoidance.next_due(now),
        )
        if self._owners:
            due = min(due, self._reports.next_due(now))
        return due

    def _allocate_one(self, now: float, effects: list[Effect]) -> bool:
        """Allocate or lend one slot; return whether more may be possible."""
        if len(self.queue) and self._start_on_loan(now, effects):
            return True
        if self.slot_tracker.has_usable_target:
            return self._allocate_owned(now, effects)
        return len(self.queue) > 0 and self._start_local(now, effects)

    def _allocate_owned(self, now: float, effects: list[Effect]) -> bool:
        target = self.slot_tracker.choose()
        if target is None:
            return False
        loan = self.lender.lend_fair_start(now) or self.lender.lend_short(target, now)
        if loan is None and self._start_owned(target, now, effects):
            return True
        loan = loan or self.lender.lend_background(now)
        if loan is not None:
            effects.append(loan)
        return loan is not None

    def _start_owned(self, target: str, now: float, effects: list[Effect]) -> bool:
        if not len(self.queue):
            return False
        for_long = for_fair = None
        if self.queue.has_long:
            for_long = self.lender.choose_long(now, spare=1)
            for_fair = for_long or self.lender.choose_long(now, spare=0)
        work = self.queue.pop(
            for_long is not None,
            now,
            allow_fair_long=for_fair is not None,
            peers_have_background=self.lender.demands.has_background,
            is_eligible=self._avoidance.make_filter(now, self.slot_tracker.list_free()),
        )
        if work is None:
            return False
        if self.queue.is_long(work):
            chosen = self._choose_owned_long(work, now) or for_long or for_fair
        else:
            chosen = self.slot_tracker.choose(work.avoid) if work.avoid else target
        self._start(work, chosen or target, now, effects)
        self.counts.owned_starts += 1
        return True

    def _choose_owned_long(self, work: WorkItem, now: float) -> str | None:
        if not work.avoid:
            return None
        choose = self.lender.choose_long
        spared = choose(now, spare=1, avoid=work.avoid)
        return spared or choose(now, spare=0, avoid=work.avoid)

    def _start_on_loan(self, now: float, effects: list[Effect]) -> bool:
        # The loan is sufficient evidence that the target is available, unless this
        # instance knows otherwise, for example that the target is draining.
        idle = self.loans.find_idle(now)
        usable = [loan for loan in idle if self.slot_tracker.accepts_loans(loan.target)]
        if not usable:
            return False
        allow_long = any(loan.allow_long for loan in usable)
        is_eligible = self._avoidance.make_filter(now, [loan.target for loan in usable])
        work = self.queue.pop(allow_long, now, is_eligible=is_eligible)
        if work is None:
            return False
        is_long, avoid = self.queue.is_long(work), work.avoid
        # A route may have become long after its request was queued as short.
        suitable = [one for one in usable if one.allow_long or not is_long] or usable
        # Short requests leave loans that allow long requests free if possible.
        loan = min(suitable, key=lambda each: (each.target in avoid, each.allow_long))
        self.loans.use(loan)
        self._start(work, loan.target, now, effects, loan)
        self.counts.loan_starts += 1
        return True

    def is_starved(self, now: float) -> bool:
        """Return whether requests wait while no owner responds."""
        if not len(self.queue) or self.slot_tracker.has_usable_target:
            return False
        return self._has_owner_timed_out(now)

    def _has_owner_timed_out(self, now: float) -> bool:
        if not self._owners:
            return True
        waiting = self.queue.summary(now)
        oldest_ms = max(waiting.oldest_short_ms, waiting.oldest_long_ms)
        return (
            min(oldest_ms, now - self._last_contact) >= self._options.owner_timeout_ms
        )

    def _start_local(self, now: float, effects: list[Effect]) -> bool:
        if not self._has_owner_timed_out(now):
            return False
        target = self._choose_local(now, is_long=False)
        if target is None:
            return False
        for_long = self._choose_local(now, is_long=True)
        work = self.queue.pop(for_long is not None, now)
        if work is None:
            return False
        is_long = self.queue.is_long(work)
        chosen = for_long if is_long else target
        if work.avoid:
            other = self._choose_local(now, is_long=is_long, avoid=work.avoid)
            chosen = other or chosen
        self._start(work, chosen or target, now, effects)
        self._may_run_without_loan = True
        self.counts.local_starts += 1
        return True

    def _start(
        self,
        work: WorkItem,
        target: str,
        now: float,
        effects: list[Effect],
        loan: BorrowedSlot | None = None,
    ) -> None:
        running = RunningRequest(
            request_id=work.request_id,
            route=work.route,
            target=target,
            is_long=self.queue.is_long(work),
            started=now,
            loan=loan,
        )
        self.slot_tracker.start(running)
        self._avoidance.remove(work.request_id)
        self.running[work.request_id] = running
        effects.append(Start(work.request_id, target, running.is_long))

    def _report_usage(self, now: float, effects: list[Effect]) -> None:
        if not self._may_run_without_loan:
            return
        in_use: dict[str, int] = {}
        for running in self.running.values():
            is_owned = self.slot_tracker.is_owner(running.target)
            if not is_owned and not self.loans.holds(running.loan):
                in_use[running.target] = in_use.get(running.target, 0) + 1
        owners = {t: o for t, o in self._ownership.targets.items() if o != self._name}
        effects += self._usage.plan(in_use, owners, now)
        self._may_run_without_loan = bool(in_use)

    def _choose_local(
        self, now: float, *, is_long: bool, avoid: frozenset[str] = frozenset()
    ) -> str | None:
        threshold_ms = self.durations.threshold_ms
        return self.slot_tracker.choose_local(
            is_long=is_long, now=now, threshold_ms=threshold_ms, avoid=avoid
        )

    def _find_owned(self) -> list[str]:
        return [t for t, o in self._ownership.targets.items() if o == self._name]
