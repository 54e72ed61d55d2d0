"""Queue of the requests of one service that wait at one instance.

A request is long if its route is (see `DurationEstimator`), short if it is
interactive and not long, and a background request otherwise.
"""

import heapq
import itertools
from collections.abc import Callable

import attrs

from currantline.admission._durations import DurationEstimator
from currantline.admission._work import WorkItem
from currantline.configuration import Priority

__all__ = ["Admitted", "QueueOptions", "QueueSummary", "Rejected", "WaitingQueue"]


Eligibility = Callable[[WorkItem], bool]


@attrs.frozen(kw_only=True)
class QueueOptions:
    """Limits of a queue.

    Parameters
    ----------
    limit : int
        Maximum number of waiting requests of each priority class.
    fairness_interval : int
        While background requests wait, one start out of this many is given to the
        oldest of them.
    run_reserve_factor : float
        Multiple of a route's 95th percentile response time that is reserved before
        the deadline, so that a request that starts also completes in time.
    max_reserve_share : float
        Largest share of the time from arrival to deadline that is reserved.
    min_rate_starts : int
        Starts needed before the measured rate is used to refuse requests early.
    """

    limit: int = 1000
    fairness_interval: int = 64
    run_reserve_factor: float = 3.0
    max_reserve_share: float = 0.75
    min_rate_starts: int = 20


@attrs.frozen
class Admitted:
    """The request was queued."""


@attrs.frozen
class Rejected:
    """The request was refused.

    Parameters
    ----------
    reason : str
        Machine-readable reason.
    """

    reason: str


@attrs.frozen(kw_only=True)
class QueueSummary:
    """Counts and ages of waiting requests; ``long`` stands for background here."""

    short_waiting: int
    long_waiting: int
    oldest_short_ms: float
    oldest_long_ms: float


@attrs.define
class _StartRate:
    """Exponentially weighted rate of starts while requests wait."""

    # Each start weighs 2% less than the next, so the rate covers about 50 starts.
    decay: float = 0.98
    starts: float = 0.0
    busy_ms: float = 0.0
    total_starts: int = 0
    last_start: float = 0.0

    def start_busy_period(self, now: float) -> None:
        self.last_start = now

    def record_start(self, now: float) -> None:
        self.starts = self.starts * self.decay + 1
        self.busy_ms = self.busy_ms * self.decay + max(0.0, now - self.last_start)
        self.total_starts += 1
        self.last_start = now

    def estimate_wait(self, position: int, now: float) -> float:
        busy_ms = self.busy_ms + max(0.0, now - self.last_start)
        return position * busy_ms / self.starts


class _SubQueue:
    """Requests of one class in order of arrival."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, WorkItem]] = []
        self._order_by_id: dict[str, int] = {}
        self.start_rate = _StartRate()

    def __len__(self) -> int:
        return len(self._order_by_id)

    def push(self, order: int, work: WorkItem, now: float) -> None:
        if not self._order_by_id:
            self.start_rate.start_busy_period(now)
        self._order_by_id[work.request_id] = order
        heapq.heappush(self._heap, (work.arrived, order, work))

    def peek(self, is_eligible: Eligibility | None = None) -> WorkItem | None:
        skipped = []
        found = None
        while self._heap and found is None:
            _, order, work = self._heap[0]
            if self._order_by_id.get(work.request_id) != order:
                heapq.heappop(self._heap)
            elif is_eligible is None or is_eligible(work):
                found = work
            else:
                skipped.append(heapq.heappop(self._heap))
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return found

    def dequeue(self, work: WorkItem, now: float) -> None:
        # The heap entry is stale now; a later `peek` removes it.
        del self._order_by_id[work.request_id]
        self.start_rate.record_start(now)

    def discard(self, request_id: str) -> None:
        del self._order_by_id[request_id]


class WaitingQueue:
    """Requests of one service that wait for a slot.

    Short requests start first. Background requests follow in order of arrival; to
    keep them from starving, every so often a start is given to the oldest of them
    (a fairness start).

    Parameters
    ----------
    durations : DurationEstimator
        Estimated durations.
    options : QueueOptions
        Limits.
    """

    def __init__(self, durations: DurationEstimator, options: QueueOptions) -> None:
        self._durations = durations
        self._options = options
        self._short = _SubQueue()
        self._deferrable = _SubQueue()
        self._long = _SubQueue()
        self._order = itertools.count()
        self._expiry: list[tuple[float, int, str]] = []
        self._waiting: dict[str, tuple[int, WorkItem, _SubQueue]] = {}
        self._counts = dict.fromkeys(Priority, 0)
        self._starts_since_fair = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def is_fair_start_due(self) -> bool:
        """Whether the next start is due to the oldest background request."""
        return self._starts_since_fair >= self._options.fairness_interval - 1

    @property
    def has_long(self) -> bool:
        """Whether any request that is expected to be long waits."""
        return len(self._long) > 0

    def set_options(self, options: QueueOptions) -> None:
        """Apply changed limits; requests that already wait stay."""
        self._options = options

    def latest_start(self, work: WorkItem) -> float:
        """Return the last time to start a request that must meet its deadline."""
        run_ms = self._options.run_reserve_factor * self._durations.p95_ms(work.route)
        allowed_ms = self._options.max_reserve_share * (work.deadline - work.arrived)
        return work.deadline - max(0.0, min(run_ms, allowed_ms))

    def push(self, work: WorkItem, now: float) -> Admitted | Rejected:
        """Add a request or refuse it immediately.

        Parameters
        ----------
        work : WorkItem
            The request.
        now : float
            Time in ms.

        Returns
        -------
        Admitted or Rejected
            Rejected if the request cannot start in time or the queue is full.
        """
        latest_start = self.latest_start(work)
        if now >= latest_start:
            return Rejected("deadline")
        if self._counts[work.priority] >= self._options.limit:
            return Rejected("queue-full")
        subqueue = self._find_subqueue(work)
        if now + self._estimate_wait(subqueue, now) > latest_start:
            return Rejected("overload")
        order = next(self._order)
        subqueue.push(order, work, now)
        self._waiting[work.request_id] = (order, work, subqueue)
        self._counts[work.priority] += 1
        heapq.heappush(self._expiry, (latest_start, order, work.request_id))
        return Admitted()

    def pop(
        self,
        allow_long: bool,
        now: float,
        *,
        allow_fair_long: bool | None = None,
        peers_have_background: bool = False,
        is_eligible: Eligibility | None = None,
    ) -> WorkItem | None:
        """Remove and return the request that starts next.

        Parameters
        ----------
        allow_long : bool
            Whether a slot for long requests is free.
        now : float
            Time in ms.
        allow_fair_long : bool, optional
            The same for a fairness start. Defaults to ``allow_long``.
        peers_have_background : bool
            Whether background requests wait at other instances. These count
            towards the fairness start as well.
        is_eligible : callable, optional
            Returns whether a request may start now; other requests are skipped.

        Returns
        -------
        WorkItem or None
            None if no suitable request waits.
        """
        if allow_fair_long is None:
            allow_fair_long = allow_long
        if self.is_fair_start_due:
            fair = self._find_oldest_background(allow_fair_long, is_eligible)
            if fair is not None:
                self._starts_since_fair = 0
                return self._dequeue(fair, now)
        has_background = (
            peers_have_background or len(self._deferrable) + len(self._long) > 0
        )
        short = self._short.peek(is_eligible)
        if short is not None:
            self._starts_since_fair += has_background
            return self._dequeue((short, self._short), now)
        background = self._find_oldest_background(allow_long, is_eligible)
        if background is None:
            return None
        self._starts_since_fair = 0
        return self._dequeue(background, now)

    def record_fair_start(self) -> None:
        """Record that the fairness start was given to another instance."""
        self._starts_since_fair = 0

    def expire(self, now: float) -> list[WorkItem]:
        """Remove and return the requests that can no longer meet their deadline."""
        expired = []
        while self.next_expiry() <= now:
            request_id = self._expiry[0][2]
            expired.append(self._waiting[request_id][1])
            self.remove(request_id)
        return expired

    def next_expiry(self) -> float:
        """Return when the next request expires, or infinity."""
        while self._expiry:
            latest_start, order, request_id = self._expiry[0]
            found = self._waiting.get(request_id)
            if found is not None and found[0] == order:
                return latest_start
            heapq.heappop(self._expiry)
        return float("inf")

    def remove(self, request_id: str) -> WorkItem | None:
        """Remove a request, for example after its caller has disconnected."""
        found = self._waiting.pop(request_id, None)
        if found is None:
            return None
        _, work, subqueue = found
        subqueue.discard(request_id)
        self._counts[work.priority] -= 1
        return work

    def clear(self) -> list[WorkItem]:
        """Remove and return all requests."""
        removed = [work for _, work, _ in self._waiting.values()]
        for work in removed:
            self.remove(work.request_id)
        return removed

    def summary(self, now: float) -> QueueSummary:
        """Return how many requests wait and for how long.

        Parameters
        ----------
        now : float
            Time in ms.

        Returns
        -------
        QueueSummary
            Counts, and ages of the oldest requests in ms.
        """
        short = self._short.peek()
        background = self._find_oldest_background(True)
        oldest = background[0] if background else None
        return QueueSummary(
            short_waiting=len(self._short),
            long_waiting=len(self._deferrable) + len(self._long),
            oldest_short_ms=max(0.0, now - short.arrived) if short else 0.0,
            oldest_long_ms=max(0.0, now - oldest.arrived) if oldest else 0.0,
        )

    def is_long(self, work: WorkItem) -> bool:
        """Return whether a request is expected to be long."""
        return self._durations.is_long(work.route)

    def _find_subqueue(self, work: WorkItem) -> _SubQueue:
        if self._durations.is_long(work.route):
            return self._long
        if work.priority is Priority.DEFERRABLE:
            return self._deferrable
        return self._short

    def _estimate_wait(self, subqueue: _SubQueue, now: float) -> float:
        # While no request waits, starts are limited by arrivals, and their rate does
        # not tell how fast a queue would drain.
        if (
            not len(subqueue)
            or subqueue.start_rate.total_starts < self._options.min_rate_starts
        ):
            return 0.0
        return subqueue.start_rate.estimate_wait(len(subqueue) + 1, now)

    def _find_oldest_background(
        self, allow_long: bool, is_eligible: Eligibility | None = None
    ) -> tuple[WorkItem, _SubQueue] | None:
        subqueues = (
            (self._deferrable, self._long) if allow_long else (self._deferrable,)
        )
        heads = [(subqueue.peek(is_eligible), subqueue) for subqueue in subqueues]
        filled = [(work, subqueue) for work, subqueue in heads if work is not None]
        return min(filled, key=lambda pair: pair[0].arrived) if filled else None

    def _dequeue(self, found: tuple[WorkItem, _SubQueue], now: float) -> WorkItem:
        work, subqueue = found
        subqueue.dequeue(work, now)
        del self._waiting[work.request_id]
        self._counts[work.priority] -= 1
        return work
