"""Who waits for slots elsewhere, and whom to ask for one."""

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
    """Demand of one instance as it was told, less what it was lent since."""

    short: int
    background: int
    # Estimated arrival of the oldest request, in ms of this instance's clock.
    short_since: float
    background_since: float
    received: float
    number: int

    def lend_short(self, now: float) -> None:
        # The ages of the younger requests are unknown; an even spacing is assumed.
        self.short_since = now - (now - self.short_since) * (1 - 1 / self.short)
        self.short -= 1

    def lend_background(self, now: float) -> None:
        self.background_since = now - (now - self.background_since) * (
            1 - 1 / self.background
        )
        self.background -= 1


class PeerDemands:
    """Work that waits at other instances, from their reports.

    Parameters
    ----------
    options : DispatchOptions
        Durations.
    """

    def __init__(self, options: DispatchOptions) -> None:
        self._options = options
        self._demands: dict[str, _PeerDemand] = {}

    def record(self, instance: str, demand: Demand, now: float) -> None:
        """Take note of a report."""
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
        """Drop reports that were not repeated."""
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
        """Whether any instance is known to wait."""
        return bool(self._demands)

    @property
    def has_background(self) -> bool:
        """Whether work that is not short waits at any instance."""
        return any(peer_demand.background > 0 for peer_demand in self._demands.values())

    def find_oldest_short(self) -> tuple[float, str] | None:
        """Return since when short work has waited longest, and where."""
        waits = [(n.short_since, name) for name, n in self._demands.items() if n.short]
        return min(waits) if waits else None

    def find_oldest_background(self) -> tuple[float, str] | None:
        """Return since when other work has waited longest, and where."""
        waits = [
            (n.background_since, name)
            for name, n in self._demands.items()
            if n.background
        ]
        return min(waits) if waits else None

    def subtract_loan(self, instance: str, *, is_short: bool, now: float) -> int:
        """Subtract one loan from what an instance waits for.

        Returns
        -------
        int
            Number of the report that the loan answers.
        """
        peer_demand = self._demands[instance]
        if is_short:
            peer_demand.lend_short(now)
        else:
            peer_demand.lend_background(now)
        return peer_demand.number


class SentReports:
    """When the reports of this instance were sent.

    A loan may sit in a buffer while a process is paused or a path is cut, and
    says nothing of its age. The report that it answers bounds the age.

    Parameters
    ----------
    rng : random.Random
        Source of the first number. A random one keeps loans that answer reports of
        a former life apart.
    age_ms : float
        Time after which a report is forgotten.
    """

    def __init__(self, rng: random.Random, age_ms: float) -> None:
        self._numbers = itertools.count(1 + rng.getrandbits(NUMBER_BITS))
        self._age_ms = age_ms
        self._sent: dict[int, float] = {}

    def add(self, now: float) -> int:
        """Return the number of a report that is sent now."""
        self._expire(now)
        number = next(self._numbers)
        self._sent[number] = now
        return number

    def find_usable_until(self, number: int, now: float) -> float | None:
        """Return until when loans that answer a report may be used.

        Returns
        -------
        float or None
            Time in ms; None if the time is over or the report is unknown.
        """
        self._expire(now)
        sent = self._sent.get(number)
        return None if sent is None else sent + self._age_ms

    def clear(self) -> None:
        """Drop all reports, so that no loan that answers them is used."""
        self._sent.clear()

    def _expire(self, now: float) -> None:
        # Reports are kept in the order in which they were sent.
        while self._sent:
            number, sent = next(iter(self._sent.items()))
            if now < sent + self._age_ms:
                return
            del self._sent[number]


@attrs.define
class _ReportedDemand:
    """What an instance was told last, less the loans that it sent since."""

    short: int = 0
    background: int = 0
    sent: float = float("-inf")

    @property
    def total(self) -> int:
        return self.short + self.background


class DemandPlanner:
    """Decides which owners are told what waits here.

    Parameters
    ----------
    options : DispatchOptions
        Durations.
    rng : random.Random
        Source of the choice of the first owner to ask.
    """

    def __init__(self, options: DispatchOptions, rng: random.Random) -> None:
        self._options = options
        self._rng = rng
        self._reported: dict[str, _ReportedDemand] = {}
        self._free: dict[str, tuple[int, float]] = {}
        self._asked_owner: str | None = None

    def clear(self) -> None:
        """Drop what was told to whom."""
        self._reported.clear()
        self._free.clear()
        self._asked_owner = None

    def record_free(self, owner: str, free_slots: int, now: float) -> None:
        """Take note of the free slots of an owner."""
        self._free[owner] = (free_slots, now)

    def record_loan(self, owner: str) -> None:
        """Subtract a loan from what its owner was told, as the owner does."""
        reported = self._reported.get(owner)
        if reported is not None and reported.short:
            reported.short -= 1
        elif reported is not None and reported.background:
            reported.background -= 1

    def find_reported(self, owner: str) -> tuple[int, int]:
        """Return the short and other requests that an owner knows of."""
        reported = self._reported.get(owner)
        return (reported.short, reported.background) if reported else (0, 0)

    def plan(
        self, owners: list[str], waiting: QueueSummary, now: float
    ) -> list[tuple[str, int, int]]:
        """Return the owners to tell now, with the counts to tell.

        Parameters
        ----------
        owners : list of str
            Other owners of the service.
        waiting : QueueSummary
            What waits here.
        now : float
            Time in ms.

        Returns
        -------
        list of tuple
            Owner, short requests and other requests.
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
        """Return when reports are to be planned again, or infinity."""
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
        # An owner of which nothing is known may well have a free slot.
        best = max(known.get(name, 1) for name in owners)
        return self._rng.choice([n for n in owners if known.get(n, 1) == best])

    def _is_due(
        self, reported: _ReportedDemand, short: int, background: int, now: float
    ) -> bool:
        # The same sum as in next_due: a difference may round to just below the
        # interval, and the instance would be woken at one instant for ever.
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
