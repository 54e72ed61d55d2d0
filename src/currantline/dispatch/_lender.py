"""Lending of slots of owned targets to other instances."""

from collections.abc import Callable

import attrs

from currantline.admission import DurationEstimator, WaitingQueue
from currantline.dispatch._lending import PeerDemands
from currantline.dispatch._messages import Lend, Send
from currantline.dispatch._options import DispatchOptions
from currantline.dispatch._slots import LentSlot, SlotTracker

__all__ = ["Lender"]


@attrs.define(kw_only=True)
class Lender:
    """Lends slots of the targets of one service that this instance owns.

    Parameters
    ----------
    service : str
        Name of the service.
    slot_tracker : SlotTracker
        Slots of the service.
    queue : WaitingQueue
        Requests that wait at this instance.
    durations : DurationEstimator
        Estimated durations.
    options : DispatchOptions
        Durations and limits.
    next_loan : callable
        Returns loan identifiers that are unique at this instance.
    """

    service: str
    slot_tracker: SlotTracker
    queue: WaitingQueue
    durations: DurationEstimator
    options: DispatchOptions
    next_loan: Callable[[], int]
    demands: PeerDemands = attrs.field(init=False)
    loan_count: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.demands = PeerDemands(self.options)

    def lend_fair_start(self, now: float) -> Send | None:
        """Lend for the fairness start if the oldest request waits elsewhere."""
        oldest = (
            self.demands.find_oldest_background()
            if self.queue.is_fair_start_due
            else None
        )
        if oldest is None:
            return None
        waiting = self.queue.summary(now)
        if waiting.long_waiting and oldest[0] >= now - waiting.oldest_long_ms:
            return None
        target = self.choose_long(now, spare=0)
        if target is None:
            return None
        self.queue.record_fair_start()
        return self._lend(oldest[1], target, now, is_short=False)

    def lend_short(self, target: str, now: float) -> Send | None:
        """Lend if short requests elsewhere have waited longer than here."""
        oldest = self.demands.find_oldest_short()
        if oldest is None:
            return None
        waiting = self.queue.summary(now)
        if waiting.short_waiting:
            own_since = now - waiting.oldest_short_ms
            if oldest[0] + self.options.lend_margin_ms >= own_since:
                return None
        return self._lend(oldest[1], target, now, is_short=True)

    def lend_background(self, now: float) -> Send | None:
        """Lend for background requests, except for the last free slot."""
        oldest = self.demands.find_oldest_background()
        target = self.choose_long(now, spare=1) if oldest else None
        if oldest is None or target is None:
            return None
        return self._lend(oldest[1], target, now, is_short=False)

    def choose_long(
        self, now: float, *, spare: int, avoid: frozenset[str] = frozenset()
    ) -> str | None:
        """Choose an owned target for a long request, see `SlotTracker`."""
        threshold_ms = self.durations.threshold_ms
        return self.slot_tracker.choose_for_long(
            now, threshold_ms, spare=spare, avoid=avoid
        )

    def _lend(self, borrower: str, target: str, now: float, *, is_short: bool) -> Send:
        threshold_ms = self.durations.threshold_ms
        allow_long = self.slot_tracker.can_start_long(target, now, threshold_ms)
        lent = LentSlot(
            loan_id=self.next_loan(),
            target=target,
            borrower=borrower,
            is_long=allow_long,
            since=now,
            expires=now + self.options.lease_ms,
        )
        self.slot_tracker.lend(lent)
        number = self.demands.subtract_loan(borrower, is_short=is_short, now=now)
        self.loan_count += 1
        message = Lend(
            loan_id=lent.loan_id,
            service=self.service,
            target=target,
            lease_ms=self.options.lease_ms,
            allow_long=allow_long,
            number=number,
        )
        return Send(borrower, message)
