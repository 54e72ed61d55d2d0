"""Dispatch of one service: queue, slots and loans together."""

import random
from collections.abc import Callable

import attrs

from currantline.admission import (
    LengthEstimator,
    QueueOptions,
    Rejected,
    WaitingQueue,
    Work,
)
from currantline.configuration import Service
from currantline.directory import Ownership
from currantline.dispatch._ledger import Borrowed, Lent, Running, SlotLedger
from currantline.dispatch._lender import Lender
from currantline.dispatch._lending import DemandReports
from currantline.dispatch._loans import BorrowedLoans, UsageReports
from currantline.dispatch._messages import (
    Demand,
    Effect,
    Lend,
    Refuse,
    Send,
    Start,
    Usage,
)
from currantline.dispatch._options import DispatchOptions
from currantline.forwarding import AttemptResult

__all__ = ["PoolCounts", "ServicePool"]

FOREVER = float("inf")


@attrs.define
class PoolCounts:
    """Counters since the start, for metrics."""

    owned_starts: int = 0
    loan_starts: int = 0
    local_starts: int = 0
    refused: int = 0
    borrowed: int = 0
    reverted: int = 0
    demands_sent: int = 0


class ServicePool:
    """Decides which waiting request gets which slot of one service.

    Parameters
    ----------
    name : str
        Name of this instance.
    service : Service
        The service.
    rng : random.Random
        Source of choices.
    options : DispatchOptions
        Durations and limits.
    next_loan : callable
        Returns loan identifiers that are unique for this instance.
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
        self.lengths = LengthEstimator(long_factor=options.long_factor)
        self.queue = WaitingQueue(self.lengths, _queue_options(service, options))
        self.ledger = SlotLedger(rng)
        self.counts = PoolCounts()
        self.running: dict[str, Running] = {}
        self.loans = BorrowedLoans()
        self.lender = Lender(
            service=service.name,
            ledger=self.ledger,
            queue=self.queue,
            lengths=self.lengths,
            options=options,
            next_loan=next_loan,
        )
        self._reports = DemandReports(options, rng)
        self._usage = UsageReports(service.name, options.lease_ms / 3)
        self._ownership = Ownership(owners=(), targets={})
        self._owners: list[str] = []
        self._heard = -FOREVER
        self._answered: dict[str, float] = {}
        self._has_foreign = False
        self.ledger.set_targets({t.name: t.slots for t in service.targets})

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits, runs or is borrowed, and no peer asks for slots."""
        is_needed = self.lender.demands.has_any or len(self.loans)
        return not (self.running or len(self.queue) or is_needed)

    def set_service(self, service: Service) -> None:
        """Take over a changed configuration of the service."""
        self._service = service
        self.queue.set_options(_queue_options(service, self._options))
        self.ledger.set_targets({t.name: t.slots for t in service.targets})
        self.ledger.set_owned(self._find_owned())

    def set_ownership(self, ownership: Ownership, now: float) -> list[Effect]:
        """Take over new owners.

        Requests that run go on. Their slots are told to the new owners, which
        start at once with the slots that they know to be free.
        """
        self._ownership = ownership
        self._owners = [name for name in ownership.owners if name != self._name]
        self.ledger.set_owned(self._find_owned())
        self.lender.demands.forget()
        self._reports.forget()
        self._heard = now
        self._has_foreign = True
        effects: list[Effect] = [*self.loans.drop(now, dict(ownership.targets))]
        return effects + self.advance(now)

    def submit(self, work: Work, now: float) -> list[Effect]:
        """Queue a request or refuse it, and start what can start."""
        result = self.queue.push(work, now)
        if isinstance(result, Rejected):
            self.counts.refused += 1
            return [Refuse(work.request_id, result.reason)]
        return self.advance(now)

    def finish(
        self, request_id: str, result: AttemptResult, now: float
    ) -> list[Effect]:
        """Free the slot of a request and learn its length."""
        running = self.running.pop(request_id)
        self.ledger.finish(running)
        if result is AttemptResult.ANSWERED:
            self.lengths.observe(running.route, now - running.started)
        if running.loan is not None:
            self.loans.release(running.loan)
        return self.advance(now)

    def receive_demand(self, sender: str, demand: Demand, now: float) -> list[Effect]:
        """Take note of what waits and is free at another instance."""
        if sender in self._owners:
            self._heard = now
            self._reports.note_free(sender, demand.free_slots, now)
        if not self.ledger.has_usable:
            return []
        self.lender.demands.note(sender, demand, now)
        effects = self.advance(now)
        if self.lender.demands.needs(sender):
            effects += self._answer_demand(sender, now)
        return effects

    def receive_lend(self, sender: str, lend: Lend, now: float) -> list[Effect]:
        """Use a slot that an owner lends, or return it."""
        if self.loans.is_known(sender, lend.loan_id):
            return []
        if sender in self._owners:
            self._heard = now
        self._reports.note_loan(sender)
        if self._ownership.targets.get(lend.target) != sender:
            return [self.loans.decline(sender, lend, now)]
        self.loans.add(sender, lend, now)
        self.counts.borrowed += 1
        return self.advance(now)

    def receive_renew(self, sender: str, lent: Lent, now: float) -> list[Effect]:
        """Extend a loan."""
        if lent.borrower == sender:
            lent.expires = now + self._options.lease_ms
        return []

    def receive_return(self, sender: str, lent: Lent, now: float) -> list[Effect]:
        """Take a lent slot back."""
        if lent.borrower != sender:
            return []
        self.ledger.take_back(lent)
        return self.advance(now)

    def receive_usage(self, sender: str, usage: Usage, now: float) -> list[Effect]:
        """Count slots that another instance uses without a loan."""
        until = now + self._options.lease_ms
        self.ledger.note_usage(usage.target, sender, usage.in_use, until)
        return self.advance(now)

    def reset(self, now: float) -> list[Effect]:
        """Discard what is outdated after a pause."""
        self._has_foreign = True
        effects: list[Effect] = [*self.loans.drop(now)]
        self.lender.demands.forget()
        self._reports.forget()
        self._heard = now
        return effects + self.advance(now)

    def advance(self, now: float) -> list[Effect]:
        """Do everything that is due.

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
            effects.append(Refuse(work.request_id, "deadline"))
        self.counts.reverted += len(self.ledger.expire(now))
        self.lender.demands.expire(now)
        held = len(self.loans)
        effects += self.loans.renew(now)
        # A request whose loan has ended still uses the slot.
        self._has_foreign |= len(self.loans) < held
        while self._step(now, effects):
            pass
        effects += self.loans.return_idle(now)
        self._report_demand(now, effects)
        self._report_usage(now, effects)
        return effects

    def next_due(self, now: float) -> float:
        """Return when `advance` is needed next without an event, or infinity."""
        due = min(
            self.queue.next_expiry(),
            self.ledger.next_expiry(),
            self.loans.next_due(),
            self._usage.next_due(),
        )
        if self._owners:
            due = min(due, self._reports.next_due(self.queue.summary(now), now))
        return due

    def _step(self, now: float, effects: list[Effect]) -> bool:
        """Give one slot away; return whether there may be more to do."""
        if len(self.queue) and self._start_on_loan(now, effects):
            return True
        if self.ledger.has_usable:
            return self._use_owned(now, effects)
        return len(self.queue) > 0 and self._start_local(now, effects)

    def _use_owned(self, now: float, effects: list[Effect]) -> bool:
        target = self.ledger.choose()
        if target is None:
            return False
        loan = self.lender.lend_fair(now) or self.lender.lend_short(target, now)
        if loan is None and self._start_owned(target, now, effects):
            return True
        loan = loan or self.lender.lend_other(now)
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
            peers_wait=self.lender.demands.has_other,
        )
        if work is None:
            return False
        chosen = for_long or for_fair if self.queue.is_long(work) else target
        self._start(work, chosen or target, now, effects)
        self.counts.owned_starts += 1
        return True

    def _start_on_loan(self, now: float, effects: list[Effect]) -> bool:
        # An owner may not know yet that a target is leaving.
        idle = self.loans.find_idle(now)
        usable = [loan for loan in idle if self.ledger.takes_work(loan.target)]
        if not usable:
            return False
        loan = next((loan for loan in usable if loan.allow_long), usable[0])
        work = self.queue.pop(loan.allow_long, now)
        if work is None:
            return False
        if not self.queue.is_long(work):
            loan = next((loan for loan in usable if not loan.allow_long), loan)
        self.loans.use(loan)
        self._start(work, loan.target, now, effects, loan)
        self.counts.loan_starts += 1
        return True

    def _start_local(self, now: float, effects: list[Effect]) -> bool:
        patience_ms = self._options.owner_patience_ms
        if self._owners:
            waiting = self.queue.summary(now)
            oldest_ms = max(waiting.oldest_short_ms, waiting.oldest_long_ms)
            if min(oldest_ms, now - self._heard) < patience_ms:
                return False
        target = self._choose_local(now, is_long=False)
        if target is None:
            return False
        for_long = self._choose_local(now, is_long=True)
        work = self.queue.pop(for_long is not None, now)
        if work is None:
            return False
        chosen = for_long if self.queue.is_long(work) else target
        self._start(work, chosen or target, now, effects)
        self._has_foreign = True
        self.counts.local_starts += 1
        return True

    def _start(
        self,
        work: Work,
        target: str,
        now: float,
        effects: list[Effect],
        loan: Borrowed | None = None,
    ) -> None:
        running = Running(
            request_id=work.request_id,
            route=work.route,
            target=target,
            is_long=self.queue.is_long(work),
            started=now,
            loan=loan,
        )
        self.ledger.start(running)
        self.running[work.request_id] = running
        effects.append(Start(work.request_id, target, running.is_long))

    def _report_demand(self, now: float, effects: list[Effect]) -> None:
        if not self._owners:
            return
        waiting = self.queue.summary(now)
        for owner, short, other in self._reports.plan(self._owners, waiting, now):
            effects.append(self._tell(owner, short, other, now))

    def _answer_demand(self, sender: str, now: float) -> list[Effect]:
        """Tell a waiting instance that its report was heard."""
        last = self._answered.get(sender, -FOREVER)
        if now - last < self._options.demand_refresh_ms:
            return []
        self._answered[sender] = now
        short, other = self._reports.find_told(sender)
        return [self._tell(sender, short, other, now)]

    def _tell(self, instance: str, short: int, other: int, now: float) -> Send:
        waiting = self.queue.summary(now)
        self.counts.demands_sent += 1
        message = Demand(
            service=self._service.name,
            short_waiting=short,
            long_waiting=other,
            oldest_short_ms=waiting.oldest_short_ms,
            oldest_long_ms=waiting.oldest_long_ms,
            free_slots=self.ledger.count_free(),
        )
        return Send(instance, message)

    def _report_usage(self, now: float, effects: list[Effect]) -> None:
        if not self._has_foreign:
            return
        in_use: dict[str, int] = {}
        for running in self.running.values():
            is_owned = self.ledger.is_owner(running.target)
            if not is_owned and not self.loans.covers(running.loan):
                in_use[running.target] = in_use.get(running.target, 0) + 1
        owners = {t: o for t, o in self._ownership.targets.items() if o != self._name}
        effects += self._usage.plan(in_use, owners, now)
        self._has_foreign = bool(in_use)

    def _choose_local(self, now: float, *, is_long: bool) -> str | None:
        return self.ledger.choose_local(
            is_long=is_long, now=now, threshold_ms=self.lengths.threshold_ms
        )

    def _find_owned(self) -> list[str]:
        return [t for t, o in self._ownership.targets.items() if o == self._name]


def _queue_options(service: Service, options: DispatchOptions) -> QueueOptions:
    return QueueOptions(
        limit=service.queue_limit, fairness_interval=options.fairness_interval
    )
