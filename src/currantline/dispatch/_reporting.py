"""Reports of demand as messages."""

import random

import attrs

from currantline.admission import WaitingQueue
from currantline.dispatch._counts import PoolCounts
from currantline.dispatch._ledger import SlotLedger
from currantline.dispatch._lending import DemandReports, SentDemands
from currantline.dispatch._messages import Demand, Send
from currantline.dispatch._options import DispatchOptions

__all__ = ["DemandReporter"]

LONG_AGO = float("-inf")


@attrs.define(kw_only=True)
class DemandReporter:
    """Tells other instances what waits here.

    Parameters
    ----------
    service : str
        Name of the service.
    queue : WaitingQueue
        What waits.
    ledger : SlotLedger
        Slots.
    counts : PoolCounts
        Counters.
    options : DispatchOptions
        Durations.
    rng : random.Random
        Source of choices.
    """

    service: str
    queue: WaitingQueue
    ledger: SlotLedger
    counts: PoolCounts
    options: DispatchOptions
    rng: random.Random
    plan: DemandReports = attrs.field(init=False)
    sent: SentDemands = attrs.field(init=False)
    _answered: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.plan = DemandReports(self.options, self.rng)
        self.sent = SentDemands(self.rng, self.options.loan_age_ms)

    def report(self, owners: list[str], now: float) -> list[Send]:
        """Tell the owners for which it is due."""
        if not owners:
            return []
        due = self.plan.plan(owners, self.queue.summary(now), now)
        return [self._tell(owner, short, other, now) for owner, short, other in due]

    def answer(self, sender: str, now: float) -> list[Send]:
        """Tell a waiting instance that its report was heard."""
        last = self._answered.get(sender, LONG_AGO)
        if now - last < self.options.demand_refresh_ms:
            return []
        self._answered[sender] = now
        short, other = self.plan.find_told(sender)
        return [self._tell(sender, short, other, now)]

    def next_due(self, now: float) -> float:
        """Return when `report` is needed next, or infinity."""
        return self.plan.next_due(self.queue.summary(now), now)

    def _tell(self, instance: str, short: int, other: int, now: float) -> Send:
        waiting = self.queue.summary(now)
        self.counts.demands_sent += 1
        message = Demand(
            service=self.service,
            short_waiting=short,
            long_waiting=other,
            oldest_short_ms=waiting.oldest_short_ms,
            oldest_long_ms=waiting.oldest_long_ms,
            free_slots=self.ledger.count_free(),
            number=self.sent.add(now),
        )
        return Send(instance, message)
