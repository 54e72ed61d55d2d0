"""Sending of demand reports."""

import random

import attrs

from currantline.admission import WaitingQueue
from currantline.dispatch._counts import PoolTotals
from currantline.dispatch._lending import DemandPlanner, SentReports
from currantline.dispatch._messages import Demand, Send
from currantline.dispatch._options import DispatchOptions
from currantline.dispatch._slots import SlotTracker

__all__ = ["DemandReporter"]

NEVER = float("-inf")


@attrs.define(kw_only=True)
class DemandReporter:
    """Reports the demand of this instance to other instances.

    Parameters
    ----------
    service : str
        Name of the service.
    queue : WaitingQueue
        Requests that wait at this instance.
    slot_tracker : SlotTracker
        Slots of the service.
    counts : PoolTotals
        Counters.
    options : DispatchOptions
        Durations.
    rng : random.Random
        Random number generator.
    """

    service: str
    queue: WaitingQueue
    slot_tracker: SlotTracker
    counts: PoolTotals
    options: DispatchOptions
    rng: random.Random
    planner: DemandPlanner = attrs.field(init=False)
    sent_reports: SentReports = attrs.field(init=False)
    _acknowledged: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.planner = DemandPlanner(self.options, self.rng)
        self.sent_reports = SentReports(self.rng, self.options.loan_age_ms)

    def report(self, owners: list[str], now: float) -> list[Send]:
        """Return the reports to owners that are due."""
        if not owners:
            return []
        due = self.planner.plan(owners, self.queue.summary(now), now)
        return [
            self._make_report(owner, short, background, now)
            for owner, short, background in due
        ]

    def acknowledge(self, sender: str, now: float) -> list[Send]:
        """Acknowledge the report of a waiting instance with a report in return."""
        last = self._acknowledged.get(sender, NEVER)
        if now - last < self.options.demand_refresh_ms:
            return []
        self._acknowledged[sender] = now
        short, background = self.planner.find_reported(sender)
        return [self._make_report(sender, short, background, now)]

    def next_due(self, now: float) -> float:
        """Return when `report` is needed next, or infinity."""
        return self.planner.next_due(self.queue.summary(now), now)

    def _make_report(
        self, instance: str, short: int, background: int, now: float
    ) -> Send:
        waiting = self.queue.summary(now)
        self.counts.demands_sent += 1
        message = Demand(
            service=self.service,
            short_waiting=short,
            long_waiting=background,
            oldest_short_ms=waiting.oldest_short_ms,
            oldest_long_ms=waiting.oldest_long_ms,
            free_slots=self.slot_tracker.count_free(),
            number=self.sent_reports.add(now),
        )
        return Send(instance, message)
