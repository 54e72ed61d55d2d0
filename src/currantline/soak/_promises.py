"""What callers and targets saw, and the promises that it breaks."""

import math
from collections import Counter, defaultdict

import attrs

__all__ = ["Call", "Disturbance", "Promises"]

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Time from the store's acknowledgement until a drain or a configuration must be in
# force, in milliseconds.
IN_FORCE_MS = 2_000.0

# Calm time after a fault from which promises with a time bound hold again, in
# milliseconds.
CALM_MS = 3_000.0

# Least part of requests that is answered once all faults are over.
RECOVERED_SHARE = 0.25


@attrs.define(kw_only=True)
class Call:
    """One request of a caller.

    Parameters
    ----------
    name : str
        Its id.
    is_idempotent : bool
        Whether it may run more than once.
    instance : str
        Instance that it was sent to.
    sent_ms : float
        Time at which it was sent.
    status : int
        Status of the answer; 0 if the connection ended without one.
    is_own : bool
        Whether the answer is the whole one to this request.
    ended_ms : float
        Time of the answer or of the end of the connection.
    """

    name: str
    is_idempotent: bool
    instance: str
    sent_ms: float
    status: int = 0
    is_own: bool = True
    ended_ms: float = 0.0


@attrs.define
class Disturbance:
    """A fault from its beginning to its end.

    Parameters
    ----------
    fault : str
        What it is; ``stop`` and ``reload`` are planned work.
    begin_ms : float
        Its beginning.
    end_ms : float
        Its end; infinite while it lasts.
    """

    fault: str
    begin_ms: float
    end_ms: float = math.inf

    def is_near(self, begin_ms: float, end_ms: float) -> bool:
        """Return whether it touched a time or the calm time before it."""
        return self.begin_ms <= end_ms and self.end_ms >= begin_ms - CALM_MS


@attrs.frozen
class _Run:
    target: str
    service: str
    ms: float


@attrs.define
class Promises:
    """Collects what was seen and finds broken promises.

    Everything is addressed by names; times are in milliseconds of one clock.
    """

    _calls: dict[str, Call] = attrs.field(factory=dict)
    _runs: dict[str, list[_Run]] = attrs.field(factory=lambda: defaultdict(list))
    _disturbed: dict[str, list[Disturbance]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    _drained: dict[str, float] = attrs.field(factory=dict)
    _services: list[tuple[float, str]] = attrs.field(factory=list)

    def note_call(self, call: Call) -> None:
        """Note a request of a caller."""
        self._calls[call.name] = call

    def note_run(self, name: str, target: str, service: str, ms: float) -> None:
        """Note that a target began to work on a request."""
        self._runs[name].append(_Run(target, service, ms))

    def note_disturbance(self, what: str, fault: str, ms: float) -> Disturbance:
        """Note that a fault of an instance, a target or the ``store`` begins.

        Returns
        -------
        Disturbance
            The caller sets its end.
        """
        disturbance = Disturbance(fault, ms)
        self._disturbed[what].append(disturbance)
        return disturbance

    def note_drain(self, target: str, ms: float) -> None:
        """Note that the store acknowledged that a target leaves."""
        self._drained[target] = ms

    def note_configuration(self, service: str, ms: float) -> None:
        """Note that the store acknowledged that requests go to a service."""
        self._services.append((ms, service))

    def count_statuses(self) -> Counter[int]:
        """Return how many calls ended with each status."""
        return Counter(call.status for call in self._calls.values())

    def find_broken(self, *, is_timed: bool = True) -> list[str]:
        """Return a line for each broken promise.

        Parameters
        ----------
        is_timed : bool, default=True
            Whether promises with a time bound are checked; a machine that is busy
            with other work may not keep them.
        """
        broken: list[str] = []
        for call in self._calls.values():
            runs = self._runs.get(call.name, [])
            broken += self._check_outcome(call, runs)
            if is_timed:
                broken += self._check_places(call, runs)
        unknown = self._runs.keys() - self._calls.keys()
        return broken + [f"{name} ran and was never sent" for name in sorted(unknown)]

    def find_unrecovered(self, since_ms: float) -> list[str]:
        """Return a line if too few calls sent after a time were answered."""
        calls = [c for c in self._calls.values() if c.sent_ms >= since_ms]
        served = sum(1 for call in calls if call.status == 200)
        if calls and served >= RECOVERED_SHARE * len(calls):
            return []
        return [f"{served} of {len(calls)} calls are answered after all faults"]

    def _check_outcome(self, call: Call, runs: list[_Run]) -> list[str]:
        broken = []
        if len(runs) > 1 and not call.is_idempotent:
            broken.append(f"{call.name} ran {len(runs)} times")
        if call.status in NOT_RUN_STATUSES and runs and not call.is_idempotent:
            broken.append(f"{call.name} ran and was answered {call.status}")
        if call.status == 200 and not call.is_own:
            broken.append(f"{call.name} got an answer that is not its own or not whole")
        if call.status == 404:
            broken.append(f"{call.name} was answered 404")
        if call.status == 0 and runs and self._was_planned(call, runs):
            broken.append(f"{call.name} was cut off by planned work")
        return broken

    def _check_places(self, call: Call, runs: list[_Run]) -> list[str]:
        if not self._is_calm(call.instance, call.sent_ms):
            return []
        if not self._is_calm("store", call.sent_ms):
            return []
        broken = []
        for run in runs:
            drained_ms = self._drained.get(run.target)
            if drained_ms is not None and call.sent_ms > drained_ms + IN_FORCE_MS:
                late_ms = round(call.sent_ms - drained_ms)
                broken.append(f"{call.name} ran at {run.target}, drained {late_ms} ms")
            if run.service not in self._list_allowed(call.sent_ms):
                broken.append(
                    f"{call.name} ran at {run.service}, which is out of force"
                )
        return broken

    def _list_allowed(self, sent_ms: float) -> set[str]:
        settled = [s for ms, s in self._services if ms <= sent_ms - IN_FORCE_MS]
        recent = [s for ms, s in self._services if ms > sent_ms - IN_FORCE_MS]
        return {*settled[-1:], *recent}

    def _is_calm(self, what: str, ms: float) -> bool:
        return not any(d.is_near(ms, ms) for d in self._disturbed.get(what, ()))

    def _was_planned(self, call: Call, runs: list[_Run]) -> bool:
        """Return whether only planned work was near when a call was cut off."""
        near = {
            disturbance.fault
            for what in (call.instance, "store", *(run.target for run in runs))
            for disturbance in self._disturbed.get(what, ())
            if disturbance.is_near(call.sent_ms, call.ended_ms)
        }
        return bool(near) and near <= {"stop", "reload"}
