"""Demand for slots at other instances, and reports of own demand."""

import itertools
import random

import attrs

from currantline.admission import QueueSummary
from currantline.dispatch._messages import Demand
from currantline.dispatch._options import DispatchOptions

__all__ = ["DemandPlanner", "PeerDemands", "SentReports"]


# Numbers of this size take four bytes in a message.
NUMBER_BITS = 24


@attrs.define
class _PeerDemand:
    """Last reported demand of an instance, minus the slots lent to it since."""

    short: int
    background: int
    # Estimated arrival of the oldest request, in ms of this instance's clock.
    short_since: float
    background_since: float
    received: float
    number: int

    def lend_short(self, now: float) -> None:
        # The ages of younger requests are unknown; even spacing is assumed.
        self.short_since = now - (now - self.short_since) * (1 - 1 / self.short)
        self.short -= 1

    def lend_background(self, now: float) -> None:
        self.background_since = now - (now - self.background_since) * (
            1 - 1 / self.background
        )
        self.background -= 1


class PeerDemands:
    """Requests that wait at other instances, from their reports.

    Parameters
    ----------
    options : DispatchOptions
        Durations.
    """

    def __init__(self, options: DispatchOptions) -> None:
        self._options = options
        self._demands: dict[str, _PeerDemand] = {}

    def record(self, instance: str, demand: Demand, now: float) -> None:
        """Record a report."""
        if demand.short_waiting <= 0 and demand.long_waiting <= 0:
            self._demands.pop(instance, None)
            return
        self._demands[instance] = _PeerDemand(
            short=max(0, demand.short_waiting),
            background=max(0, demand.long_waiting),
            short_since=now - demand.oldest_short_ms,
            background_since=now - demand.oldest_long_ms,
            received=now,
            number=demand.number,
        )

    def clear(self) -> None:
        """Drop all reports."""
        self._demands.clear()

    def expire(self, now: float) -> None:
        """Drop expired reports."""
        if not self._demands:
            return
        oldest = now - self._options.demand_expiry_ms
        for name in [
            n
            for n, peer_demand in self._demands.items()
            if peer_demand.received <= oldest
        ]:
            del self._demands[name]

    def is_waiting(self, instance: str) -> bool:
        """Return whether an instance still waits for a slot."""
        peer_demand = self._demands.get(instance)
        return (
            peer_demand is not None and peer_demand.short + peer_demand.background > 0
        )

    @property
    def has_any(self) -> bool:
        """Whether any other instance has reported demand."""
        return bool(self._demands)

    @property
    def has_background(self) -> bool:
        """Whether background requests wait at any other instance."""
        return any(peer_demand.background > 0 for peer_demand in self._demands.values())

    def find_oldest_short(self) -> tuple[float, str] | None:
        """Return the estimated arrival and the instance of the oldest short request."""
        waits = [(n.short_since, name) for name, n in self._demands.items() if n.short]
        return min(waits) if waits else None

    def find_oldest_background(self) -> tuple[float, str] | None:
        """Return the same as `find_oldest_short` for background requests."""
        waits = [
            (n.background_since, name)
            for name, n in self._demands.items()
            if n.background
        ]
        return min(waits) if waits else None

    def subtract_loan(self, instance: str, *, is_short: bool, now: float) -> int:
        """Subtract one loan from the demand of an instance.

        Returns
        -------
        int
            Sequence number of the report that the loan answers.
        """
        peer_demand = self._demands[instance]
        if is_short:
            peer_demand.lend_short(now)
        else:
            peer_demand.lend_background(now)
        return peer_demand.number


class SentReports:
    """Send times of the demand reports of this instance.

    A loan may be delayed in a buffer while a process is paused or a connection is
    interrupted, and does not carry its age. It is at most as old as the report that
    it answers.

    Parameters
    ----------
    rng : random.Random
        Source of the first number. A random number keeps out loans that answer
        reports from before a restart.
    age_ms : float
        Time after which a report is discarded.
    """

    def __init__(self, rng: random.Random, age_ms: float) -> None:
        self._numbers = itertools.count(1 + rng.getrandbits(NUMBER_BITS))
        self._age_ms = age_ms
        self._sent: dict[int, float] = {}

    def add(self, now: float) -> int:
        """Record a report that is sent now and return its number."""
        self._expire(now)
        number = next(self._numbers)
        self._sent[number] = now
        return number

    def find_usable_until(self, number: int, now: float) -> float | None:
        """Return the time until which loans that answer a report may be used.

        Returns
        -------
        float or None
            Time in ms; None if that time has passed or the report is unknown.
        """
        self._expire(now)
        sent = self._sent.get(number)
        return None if sent is None else sent + self._age_ms

    def clear(self) -> None:
        """Drop all reports, so that loans that answer them are not used."""
        self._sent.clear()

    def _expire(self, now: float) -> None:
        # Reports are in the order in which they were sent.
        while self._sent:
            number, sent = next(iter(self._sent.items()))
            if now < sent + self._age_ms:
                return
            del self._sent[number]


@attrs.define
class _ReportedDemand:
    """Demand last reported to an owner, minus the loans that it sent since."""

    short: int = 0
    background: int = 0
    sent: float = float("-inf")

    @property
    def total(self) -> int:
        return self.short + self.background


class DemandPlanner:
    """Decides which demand is reported to which owners.

    Parameters
    ----------
    options : DispatchOptions
        Durations.
    rng : random.Random
        Random number generator, for the choice of the first owner to ask.
    """

    def __init__(self, options: DispatchOptions, rng: random.Random) -> None:
        self._options = options
        self._rng = rng
        self._reported: dict[str, _ReportedDemand] = {}
        self._free: dict[str, tuple[int, float]] = {}
        self._asked_owner: str | None = None

    def clear(self) -> None:
        """Drop all reported demand and known free slots."""
        self._reported.clear()
        self._free.clear()
        self._asked_owner = None

    def record_free(self, owner: str, free_slots: int, now: float) -> None:
        """Record the free slots of an owner."""
        self._free[owner] = (free_slots, now)

    def record_loan(self, owner: str) -> None:
        """Subtract a loan from the demand reported to its owner, as the owner does."""
        reported = self._reported.get(owner)
        if reported is not None and reported.short:
            reported.short -= 1
        elif reported is not None and reported.background:
            reported.background -= 1

    def find_reported(self, owner: str) -> tuple[int, int]:
        """Return the numbers of short and background requests reported to an owner."""
        reported = self._reported.get(owner)
        return (reported.short, reported.background) if reported else (0, 0)

    def plan(
        self, owners: list[str], waiting: QueueSummary, now: float
    ) -> list[tuple[str, int, int]]:
        """Return the reports that are due.

        Parameters
        ----------
        owners : list of str
            Other owners of the service.
        waiting : QueueSummary
            Requests that wait at this instance.
        now : float
            Time in ms.

        Returns
        -------
        list of tuple
            Owner, number of short requests, number of background requests.
        """
        shares = self._split_demand(owners, waiting, now)
        due = []
        for owner in owners:
            short, background = shares.get(owner, (0, 0))
            reported = self._reported.get(owner)
            if reported is None:
                if short + background == 0:
                    continue
                reported = self._reported.setdefault(owner, _ReportedDemand())
            if self._is_due(reported, short, background, now):
                reported.short, reported.background, reported.sent = (
                    short,
                    background,
                    now,
                )
                due.append((owner, short, background))
        return due

    def next_due(self, waiting: QueueSummary, now: float) -> float:
        """Return when `plan` is due next, or infinity."""
        options = self._options
        if waiting.short_waiting + waiting.long_waiting:
            return now + options.demand_interval_ms
        sent = [reported.sent for reported in self._reported.values() if reported.total]
        return min(sent, default=float("inf")) + options.demand_interval_ms

    def _split_demand(
        self, owners: list[str], waiting: QueueSummary, now: float
    ) -> dict[str, tuple[int, int]]:
        if not owners or not waiting.short_waiting + waiting.long_waiting:
            self._asked_owner = None
            return {}
        oldest_ms = max(waiting.oldest_short_ms, waiting.oldest_long_ms)
        if len(owners) == 1 or oldest_ms >= self._options.ask_all_after_ms:
            asked = owners
        else:
            if self._asked_owner not in owners:
                self._asked_owner = self._choose_first(owners, now)
            asked = [self._asked_owner]
        share = (
            -(-waiting.short_waiting // len(asked)),
            -(-waiting.long_waiting // len(asked)),
        )
        return dict.fromkeys(asked, share)

    def _choose_first(self, owners: list[str], now: float) -> str:
        fresh = now - self._options.demand_expiry_ms
        known = {n: free for n, (free, at) in self._free.items() if at > fresh}
        # An owner whose free slots are unknown is assumed to have one.
        best = max(known.get(name, 1) for name in owners)
        return self._rng.choice([n for n in owners if known.get(n, 1) == best])

    def _is_due(
        self, reported: _ReportedDemand, short: int, background: int, now: float
    ) -> bool:
        # Must be the same sum as in `next_due`. A difference of times may round to
        # just below the interval, and `plan` would be called in an endless loop.
        if now < reported.sent + self._options.demand_interval_ms:
            return False
        if short + background == 0:
            return reported.total > 0
        if now >= reported.sent + self._options.demand_refresh_ms:
            return True
        return (
            (short > 0) != (reported.short > 0)
            or (background > 0) != (reported.background > 0)
            or short > 2 * reported.short
            or background > 2 * reported.background
        )
