"""State of every target, derived from observations and notices."""

import math
import random
import statistics
from collections.abc import Iterable

import attrs

from currantline.configuration import Service
from currantline.load._circuit_breaker import CircuitBreaker
from currantline.load._concurrency_limit import ConcurrencyLimit
from currantline.load._evidence import NEVER, Evidence
from currantline.load._notices import TargetNotice
from currantline.load._observation import (
    LoadReport,
    Observation,
    Signal,
    TargetState,
)
from currantline.load._options import LoadOptions

__all__ = ["TargetStatus", "TargetTracker"]

FAILURE_SIGNALS = frozenset({Signal.SHED, Signal.FAILED})
# A target without evidence for this long may have restarted: it needs a slow start.
COLD_AFTER_MS = 30_000.0
# A single target has no others to compare its response time with.
MIN_COMPARED_TARGETS = 2


@attrs.frozen(kw_only=True)
class TargetStatus:
    """Status of a target as known to this instance.

    Parameters
    ----------
    target, service : str
        Names of the target and of its service.
    state : TargetState
        State implied by the evidence.
    evidence_age_ms : float or None
        Age of the evidence that it is not draining; None without evidence.
    limit : int
        Number of slots that may be used now.
    circuit : str
        ``closed``, ``open`` or ``half-open``.
    response_ms : float or None
        Median of its last response times.
    report : LoadReport or None
        Its last load report, which does not affect the limit.
    """

    target: str
    service: str
    state: TargetState
    evidence_age_ms: float | None
    limit: int
    circuit: str
    response_ms: float | None
    report: LoadReport | None


@attrs.define(kw_only=True)
class Entry:
    """State of one target.

    Parameters
    ----------
    service : str
        Name of the service of the target.
    slots : int
        Number of slots of the target.
    """

    service: str
    slots: int
    evidence: Evidence = attrs.field(factory=Evidence)
    local_evidence: Evidence = attrs.field(factory=Evidence)
    circuit: CircuitBreaker = attrs.field(factory=CircuitBreaker)
    concurrency_limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    report: LoadReport | None = None
    last_report_sent: float = NEVER


class TargetTracker:
    """Tracks the state of every target.

    Parameters
    ----------
    rng : random.Random
        Random number generator for the jitter of the circuit breakers.
    options : LoadOptions, optional
        Options of the load package.

    Attributes
    ----------
    drain_changes : int
        Counter that increases whenever the drains observed by this instance may have
        changed. Reading it is cheap, whereas `notices` iterates over every target.
    """

    def __init__(self, rng: random.Random, options: LoadOptions | None = None) -> None:
        self.drain_changes = 0
        self._rng = rng
        self._options = options or LoadOptions()
        self._entries: dict[str, Entry] = {}
        self._pools: dict[str, list[Entry]] = {}
        # Names of targets that are draining by local evidence.
        self._local_drains: set[str] = set()
        # Names of targets that are draining by any evidence.
        self._draining: set[str] = set()
        # Names of targets whose evidence may be fresh; the limit of others is 0.
        self._maybe_fresh: set[str] = set()

    def set_services(self, services: Iterable[Service]) -> None:
        """Apply the targets of a configuration and discard all others."""
        entries: dict[str, Entry] = {}
        old = self._entries
        self._pools = {}
        for service in services:
            pool = self._pools.setdefault(service.name, [])
            for target in service.targets:
                entry = self._entries.get(target.name)
                if entry is None or entry.service != service.name:
                    entry = Entry(service=service.name, slots=target.slots)
                entry.slots = target.slots
                entries[target.name] = entry
                pool.append(entry)
        self._entries = entries
        self.drain_changes += 1
        self._local_drains = {
            n for n, e in entries.items() if e.local_evidence.is_draining
        }
        self._draining = {n for n, e in entries.items() if e.evidence.is_draining}
        self._maybe_fresh = {
            n for n in self._maybe_fresh if entries.get(n) is old.get(n)
        }

    def set_listed(
        self, *, live: Iterable[str], leaving: Iterable[str], now: float
    ) -> None:
        """Apply the target states of the published list.

        A target named as leaving counts as draining until the list names it as live,
        whatever state it reports, because its health endpoint may be stale. A target
        named as neither is left unchanged, because it may be missing from a stale list.

        Parameters
        ----------
        live, leaving : iterable of str
            Names of targets in each state.
        now : float
            Time of reading the list, in milliseconds of the clock.
        """
        self.drain_changes += 1
        for name in live:
            if (entry := self._entries.get(name)) is not None:
                entry.evidence.set_listed_leaving(is_leaving=False)
                entry.local_evidence.set_listed_leaving(is_leaving=False)
                self._update_local_drain(name, entry)
                self._update_draining(name, entry)
        for name in leaving:
            entry = self._entries.get(name)
            if entry is not None and not entry.evidence.is_listed_leaving:
                for evidence in (entry.evidence, entry.local_evidence):
                    evidence.set_listed_leaving(is_leaving=True)
                    evidence.add(TargetState.DRAINING, sent=now, received=now)
                self._update_local_drain(name, entry)
                self._update_draining(name, entry)

    def observe(self, target: str, observation: Observation, now: float) -> None:
        """Add the result of a request or probe sent by this instance.

        Parameters
        ----------
        target : str
            Name of the target; an unknown target is ignored.
        observation : Observation
            Result of the request or probe.
        now : float
            Time of receipt, in milliseconds of the clock.
        """
        entry = self._entries.get(target)
        if entry is None:
            return
        if observation.report is not None:
            self._record_local_report(
                target, entry, observation.report, observation.sent, now
            )
            self._update_local_drain(target, entry)
        if observation.signal in FAILURE_SIGNALS:
            self._record_failure(entry, observation, now)
        elif observation.signal is Signal.ANSWERED:
            self._record_success(entry, observation)

    def limit(self, target: str, now: float) -> int:
        """Return the number of slots of a target that may be used now.

        Returns
        -------
        int
            0 if the target is draining, has no fresh evidence or has an open circuit;
            otherwise between 1 and its number of slots.
        """
        entry = self._entries.get(target)
        if entry is None:
            return 0
        state = entry.evidence.state(now, self._options.evidence_ms)
        if state in (TargetState.DRAINING, TargetState.UNKNOWN):
            return 0
        if entry.circuit.is_open:
            return int(entry.circuit.is_half_open(now))
        if state is TargetState.STARTING:
            return 1
        return min(entry.concurrency_limit.allowed, entry.slots)

    def accepts_loans(self, target: str, now: float) -> bool:
        """Return whether a slot lent by the owner of a target may be used.

        An instance without local evidence relies on the evidence of the owner that
        lends the slot. A drain or an open circuit known to this instance takes
        precedence.
        """
        entry = self._entries.get(target)
        if entry is None or entry.evidence.is_draining:
            return False
        return not entry.circuit.is_open or entry.circuit.is_half_open(now)

    def list_draining(self) -> set[str]:
        """Return the targets that are known to be draining."""
        return set(self._draining)

    def list_fresh(self, now: float) -> set[str]:
        """Return the targets with fresh evidence; the limit of others is 0."""
        evidence_ms = self._options.evidence_ms
        self._maybe_fresh = {
            name
            for name in self._maybe_fresh
            if self._entries[name].evidence.age_ms(now) <= evidence_ms
        }
        return set(self._maybe_fresh)

    def evidence_age(self, target: str, now: float) -> float:
        """Return the age in ms of the evidence that a target is not draining.

        Returns
        -------
        float
            Infinite without evidence.
        """
        entry = self._entries.get(target)
        return math.inf if entry is None else entry.evidence.age_ms(now)

    def has_evidence(self, target: str, now: float) -> bool:
        """Return whether the state of a target is known."""
        entry = self._entries.get(target)
        if entry is None:
            return False
        state = entry.evidence.state(now, self._options.evidence_ms)
        return state is not TargetState.UNKNOWN

    def report_age(self, target: str, now: float) -> float:
        """Return the age in ms of the latest report on a target from any instance."""
        entry = self._entries.get(target)
        return math.inf if entry is None else now - entry.last_report_sent

    def local_evidence_age(self, target: str, now: float) -> float:
        """Return the age in ms of the latest local evidence about a target."""
        entry = self._entries.get(target)
        return math.inf if entry is None else now - entry.local_evidence.observed_at

    def needs_probe(self, target: str, now: float) -> bool:
        """Return whether the latest report is at least one probe interval old.

        A draining target is probed as well, to detect when it is ready again.
        """
        entry = self._entries.get(target)
        if entry is None:
            return False
        return self.report_age(target, now) >= self._options.probe_interval_ms

    def notices(self, now: float) -> list[TargetNotice]:
        """Return notices of the local observations, the latest first.

        Observations from peers are omitted, so that no notice returns to its sender.
        """
        found = [
            notice
            for name, entry in self._entries.items()
            if (notice := self._make_notice(name, entry, now)) is not None
        ]
        return sorted(found, key=lambda notice: notice.age_ms)

    def find_notices(
        self, targets: Iterable[str], now: float
    ) -> tuple[TargetNotice, ...]:
        """Return notices of the local observations of the given targets."""
        found = (
            self._make_notice(name, self._entries[name], now)
            for name in targets
            if name in self._entries
        )
        return tuple(notice for notice in found if notice is not None)

    def drain_notices(self, now: float) -> list[TargetNotice]:
        """Return the notices of draining targets without examining the others."""
        found = (
            self._make_notice(name, self._entries[name], now)
            for name in sorted(self._local_drains)
        )
        return [notice for notice in found if notice is not None]

    def merge_notice(
        self, notice: TargetNotice, now: float, *, requested_at: float | None = None
    ) -> None:
        """Add an observation from a peer.

        Parameters
        ----------
        notice : TargetNotice
            Observation of the peer.
        now : float
            Time of receipt, in milliseconds of the clock.
        requested_at : float or None
            Time at which the request was sent to which the notice responds. The
            notice cannot have been created before. An unsolicited notice may have
            been buffered for any time, so without ``requested_at`` only a drain is
            applied.
        """
        entry = self._entries.get(notice.target)
        if entry is None:
            return
        if notice.state is TargetState.DRAINING:
            received = now - notice.age_ms
            entry.evidence.add(notice.state, sent=received, received=received)
            self._update_draining(notice.target, entry)
        elif requested_at is not None:
            sent = min(requested_at, now) - notice.age_ms
            self._apply_report(
                notice.target, entry, notice.state, sent=sent, received=now
            )

    def reset(self) -> None:
        """Discard all evidence that allows new work, as after a pause."""
        self.drain_changes += 1
        for name, entry in self._entries.items():
            entry.evidence.discard_alive()
            entry.local_evidence.discard_alive()
            entry.last_report_sent = NEVER
            self._update_local_drain(name, entry)

    def describe(self, now: float) -> list[TargetStatus]:
        """Return the status of every target, sorted by name."""
        return [
            self._describe(name, entry, now)
            for name, entry in sorted(self._entries.items())
        ]

    def _update_draining(self, name: str, entry: Entry) -> None:
        if entry.evidence.is_draining:
            self._draining.add(name)
        else:
            self._draining.discard(name)

    def _update_local_drain(self, name: str, entry: Entry) -> None:
        if entry.local_evidence.is_draining:
            self._local_drains.add(name)
        else:
            self._local_drains.discard(name)

    def _record_local_report(
        self, name: str, entry: Entry, report: LoadReport, sent: float, now: float
    ) -> None:
        if sent >= entry.last_report_sent:
            entry.report = report
        was_draining = entry.local_evidence.is_draining
        entry.local_evidence.add(report.state, sent=sent, received=now)
        self.drain_changes += entry.local_evidence.is_draining is not was_draining
        self._apply_report(name, entry, report.state, sent=sent, received=now)

    def _apply_report(
        self,
        name: str,
        entry: Entry,
        state: TargetState,
        *,
        sent: float,
        received: float,
    ) -> None:
        self._maybe_fresh.add(name)
        was_draining = entry.evidence.is_draining
        newer_ms = sent - entry.evidence.alive_sent
        entry.evidence.add(state, sent=sent, received=received)
        self._update_draining(name, entry)
        entry.last_report_sent = max(entry.last_report_sent, sent)
        has_returned = was_draining and not entry.evidence.is_draining
        # A late response sent before the target was ready is not a new start.
        is_starting = state is TargetState.STARTING and newer_ms >= 0
        if is_starting or has_returned or newer_ms > COLD_AFTER_MS:
            entry.concurrency_limit.restart()

    def _record_success(self, entry: Entry, observation: Observation) -> None:
        if observation.duration_ms is not None:
            entry.concurrency_limit.add_duration(observation.duration_ms)
        entry.circuit.record_success(observation.sent)
        entry.concurrency_limit.record_success(
            entry.slots, self._find_reference(entry.service)
        )

    def _record_failure(
        self, entry: Entry, observation: Observation, now: float
    ) -> None:
        was_open = entry.circuit.is_open
        entry.circuit.record_failure(
            observation.sent, now, self._rng, may_open=self._may_open(entry.service)
        )
        entry.concurrency_limit.record_failure(observation.sent, now)
        if entry.circuit.is_open and not was_open:
            entry.concurrency_limit.restart()

    def _may_open(self, service: str) -> bool:
        # Avoiding targets does not help with a fault common to most of them, such as a
        # route that always fails. At most half of the circuits are open.
        pool = self._pools[service]
        open_count = sum(entry.circuit.is_open for entry in pool)
        return open_count < max(1, len(pool) // 2)

    def _find_reference(self, service: str) -> float | None:
        medians = [
            median_ms
            for entry in self._pools[service]
            if (median_ms := entry.concurrency_limit.median_ms) is not None
        ]
        if len(medians) < MIN_COMPARED_TARGETS:
            return None
        return statistics.median_low(medians)

    def _make_notice(self, name: str, entry: Entry, now: float) -> TargetNotice | None:
        local_evidence = entry.local_evidence
        state = local_evidence.state(now, self._options.evidence_ms)
        if state is TargetState.UNKNOWN:
            return None
        since = (
            local_evidence.drain_received
            if local_evidence.is_draining
            else local_evidence.alive_sent
        )
        return TargetNotice(target=name, state=state, age_ms=max(0.0, now - since))

    def _describe(self, name: str, entry: Entry, now: float) -> TargetStatus:
        age_ms = entry.evidence.age_ms(now)
        circuit = "closed"
        if entry.circuit.is_open:
            circuit = "half-open" if entry.circuit.is_half_open(now) else "open"
        return TargetStatus(
            target=name,
            service=entry.service,
            state=entry.evidence.state(now, self._options.evidence_ms),
            evidence_age_ms=None if math.isinf(age_ms) else age_ms,
            limit=self.limit(name, now),
            circuit=circuit,
            response_ms=entry.concurrency_limit.median_ms,
            report=entry.report,
        )
