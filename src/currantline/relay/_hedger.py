"""Decides when a request is hedged, and finds the target of the hedge."""

from currantline.clock import Clock
from currantline.hedging import HedgePolicy, HedgeRefusal, estimate_load
from currantline.placement import TargetRegistry
from currantline.relay._progress import Progress
from currantline.relay._repeats import RepeatLimiter
from currantline.relay._selection import RequestContext, Selection
from currantline.relay._selector import TargetSelector
from currantline.relay._sender import SendResult
from currantline.telemetry import Meter

__all__ = ["Hedger"]

# Share of the latency objective after which an idempotent request is hedged, that is
# also sent to a second target, if the first one has not responded. It applies if the
# operators set no limit of hedges.
HEDGE_SHARE = 0.45

# A hedge that is due sooner is sent at once, in milliseconds. A timer may wake a
# rounding error before its time, and would then be set again without end.
MIN_WAIT_MS = 1.0

# Age up to which load reports count in the load of a service, in milliseconds. Slow
# episodes of hosts are shorter, but the mean of many targets changes less.
MAX_REPORT_AGE_MS = 1_000.0


class Hedger:
    """Hedges idempotent requests.

    Parameters
    ----------
    policy : HedgePolicy or None
        Hedging within the limit of the operators, None if they set none.
    targets : TargetRegistry
        Known targets.
    selector : TargetSelector
        Selects targets.
    repeats : RepeatLimiter
        Limits of all repeats.
    clock : Clock
        Source of time.
    meter : Meter
        Counts hedges.
    """

    def __init__(
        self,
        policy: HedgePolicy | None,
        *,
        targets: TargetRegistry,
        selector: TargetSelector,
        repeats: RepeatLimiter,
        clock: Clock,
        meter: Meter,
    ) -> None:
        self._policy = policy
        self._targets = targets
        self._selector = selector
        self._repeats = repeats
        self._clock = clock
        self._meter = meter

    def find_time_ms(self, progress: Progress) -> float | None:
        """Return the time at which a request is hedged, None if it never is."""
        context = progress.context
        if not context.route.is_idempotent:
            return None
        if self._policy is None:
            return context.arrived_ms + HEDGE_SHARE * context.route.objective_ms
        delay_ms = self._policy.find_delay_ms(
            context.route.name, context.route.objective_ms
        )
        if delay_ms is None:
            return None
        # It counts from the first send, as the response times do.
        sent_ms = progress.first_sent_ms
        return (self._clock.read() if sent_ms is None else sent_ms) + delay_ms

    def find_next_time_ms(self, progress: Progress) -> float | None:
        """Return the time of the hedge if it has become later, None if it is due."""
        if self._policy is None:
            return None
        time_ms = self.find_time_ms(progress)
        if time_ms is None or time_ms - self._clock.read() < MIN_WAIT_MS:
            return None
        return time_ms

    async def select(self, progress: Progress) -> Selection | None:
        """Return the target of a hedge, which is then counted, or None."""
        refusal = self._find_refusal(progress)
        if refusal is not None:
            self._meter.count("hedges_refused", reason=refusal.value)
            return None
        selection = await self._selector.select_hedge(
            progress.context,
            exclude=progress.tried | self._list_cold(progress.context),
        )
        if selection is None or selection.target is None or selection.lease is None:
            self._meter.count("hedges_refused", reason=HedgeRefusal.TARGET.value)
            return None
        refusal = self._acquire(progress)
        if refusal is not None:
            self._meter.count("hedges_refused", reason=refusal.value)
            self._selector.release(selection)
            return None
        progress.hedges += 1
        self._meter.count("hedges", result="sent")
        return selection

    def record_first_send(self, progress: Progress) -> None:
        """Count a request that is sent for the first time."""
        progress.first_sent_ms = self._clock.read()
        if self._policy is not None:
            self._policy.record_request(
                progress.context.service.name, progress.first_sent_ms
            )

    def record_success(
        self, progress: Progress, result: SendResult, *, is_hedge: bool
    ) -> None:
        """Record the response that the caller gets."""
        if is_hedge:
            self._meter.count("hedges", result="won")
            progress.hedges -= 1
        if self._policy is None or not progress.context.route.is_idempotent:
            return
        took_ms = result.took_ms
        if is_hedge and progress.first_sent_ms is not None:
            took_ms = self._clock.read() - progress.first_sent_ms
        self._policy.record_response(progress.context.route.name, took_ms)

    def record_end(self, progress: Progress) -> None:
        """Count the hedges that did not give the response."""
        if progress.hedges:
            self._meter.count("hedges", progress.hedges, result="lost")

    def _find_refusal(self, progress: Progress) -> HedgeRefusal | None:
        if self._policy is None:
            return None
        context, now = progress.context, self._clock.read()
        return self._policy.find_refusal(
            service=context.service.name,
            route=context.route.name,
            has_body=bool(progress.request.body),
            left_ms=context.deadline_ms - now,
            load=self._estimate_load(context),
            now=now,
        )

    def _acquire(self, progress: Progress) -> HedgeRefusal | None:
        # Other requests may have used the limit while the targets were probed. Nothing
        # suspends between this check and the count.
        service, now = progress.context.service.name, self._clock.read()
        if self._policy is not None and not self._policy.has_room(service, now):
            return HedgeRefusal.LIMIT
        if not self._repeats.try_acquire(progress, is_hedge=True):
            return HedgeRefusal.BUDGET
        if self._policy is not None:
            self._policy.record_hedge(service, now)
        return None

    def _estimate_load(self, context: RequestContext) -> float | None:
        oldest_ms = self._clock.read() - MAX_REPORT_AGE_MS
        reports = [
            t.last_report for t in self._targets.list_usable(context.service.name)
        ]
        return estimate_load(
            r for r in reports if r is not None and r.requested_ms > oldest_ms
        )

    def _list_cold(self, context: RequestContext) -> set[str]:
        if self._policy is None:
            return set()
        now = self._clock.read()
        usable = self._targets.list_usable(context.service.name, now)
        return {target.name for target in usable if now < target.warmup_end_ms}
