"""What callers and targets saw, and the guarantees that it breaks."""

import math
from collections import Counter, defaultdict

import attrs

__all__ = ["Call", "FaultWindow", "GuaranteeChecker"]

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Time from the store's acknowledgement until a drain or a configuration must be in
# force, in milliseconds.
APPLY_LIMIT_MS = 2_000.0

# Calm time after a fault from which guarantees with a time bound hold again, in
# milliseconds.
SETTLE_MS = 3_000.0

# Least part of requests that is answered once all faults are over.
MIN_ANSWERED_SHARE = 0.25


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
    is_match : bool
        Whether the answer is the whole one to this request.
    ended_ms : float
        Time of the answer or of the end of the connection.
    """

    name: str
    is_idempotent: bool
    instance: str
    sent_ms: float
    status: int = 0
    is_match: bool = True
    ended_ms: float = 0.0


@attrs.define
class FaultWindow:
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

    def overlaps(self, begin_ms: float, end_ms: float) -> bool:
        """Return whether it touched a time or the calm time before it."""
        return self.begin_ms <= end_ms and self.end_ms >= begin_ms - SETTLE_MS


@attrs.frozen
class _Execution:
    target: str
    service: str
    ms: float


@attrs.define
class GuaranteeChecker:
    """Collects what was seen and finds violations guarantees.

    Everything is addressed by names; times are in milliseconds of one clock.
    """

    _calls: dict[str, Call] = attrs.field(factory=dict)
    _executions: dict[str, list[_Execution]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    _fault_windows: dict[str, list[FaultWindow]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    _drain_times_ms: dict[str, float] = attrs.field(factory=dict)
    _services: list[tuple[float, str]] = attrs.field(factory=list)

    def record_call(self, call: Call) -> None:
        """Note a request of a caller."""
        self._calls[call.name] = call

    def record_execution(self, name: str, target: str, service: str, ms: float) -> None:
        """Note that a target began to work on a request."""
        self._executions[name].append(_Execution(target, service, ms))

    def record_fault(self, what: str, fault: str, ms: float) -> FaultWindow:
        """Note that a fault of an instance, a target or the ``store`` begins.

        Returns
        -------
        FaultWindow
            The caller sets its end.
        """
        window = FaultWindow(fault, ms)
        self._fault_windows[what].append(window)
        return window

    def record_drain(self, target: str, ms: float) -> None:
        """Note that the store acknowledged that a target leaves."""
        self._drain_times_ms[target] = ms

    def record_configuration(self, service: str, ms: float) -> None:
        """Note that the store acknowledged that requests go to a service."""
        self._services.append((ms, service))

    def count_statuses(self) -> Counter[int]:
        """Return how many calls ended with each status."""
        return Counter(call.status for call in self._calls.values())

    def find_violations(self, *, checks_time_bounds: bool = True) -> list[str]:
        """Return a line for each violations promise.

        Parameters
        ----------
        checks_time_bounds : bool, default=True
            Whether guarantees with a time bound are checked; a machine that is busy
            with other work may not keep them.
        """
        violations: list[str] = []
        for call in self._calls.values():
            executions = self._executions.get(call.name, [])
            violations += self._check_outcome(call, executions)
            if checks_time_bounds:
                violations += self._check_targets(call, executions)
        unknown = self._executions.keys() - self._calls.keys()
        return violations + [
            f"{name} ran and was never sent" for name in sorted(unknown)
        ]

    def check_recovery(self, since_ms: float) -> list[str]:
        """Return a line if too few calls sent after a time were answered."""
        calls = [c for c in self._calls.values() if c.sent_ms >= since_ms]
        served = sum(1 for call in calls if call.status == 200)
        if calls and served >= MIN_ANSWERED_SHARE * len(calls):
            return []
        return [f"{served} of {len(calls)} calls are answered after all faults"]

    def _check_outcome(self, call: Call, executions: list[_Execution]) -> list[str]:
        violations = []
        if len(executions) > 1 and not call.is_idempotent:
            violations.append(f"{call.name} ran {len(executions)} times")
        if call.status in NOT_RUN_STATUSES and executions and not call.is_idempotent:
            violations.append(f"{call.name} ran and was answered {call.status}")
        if call.status == 200 and not call.is_match:
            violations.append(
                f"{call.name} got an answer that is not its own or not whole"
            )
        if call.status == 404:
            violations.append(f"{call.name} was answered 404")
        if call.status == 0 and executions and self._is_planned_only(call, executions):
            violations.append(f"{call.name} was cut off by planned work")
        return violations

    def _check_targets(self, call: Call, executions: list[_Execution]) -> list[str]:
        if not self._is_fault_free(call.instance, call.sent_ms):
            return []
        if not self._is_fault_free("store", call.sent_ms):
            return []
        violations = []
        for execution in executions:
            drained_ms = self._drain_times_ms.get(execution.target)
            if drained_ms is not None and call.sent_ms > drained_ms + APPLY_LIMIT_MS:
                late_ms = round(call.sent_ms - drained_ms)
                violations.append(
                    f"{call.name} ran at {execution.target}, drained {late_ms} ms"
                )
            if execution.service not in self._list_allowed_services(call.sent_ms):
                violations.append(
                    f"{call.name} ran at {execution.service}, which is out of force"
                )
        return violations

    def _list_allowed_services(self, sent_ms: float) -> set[str]:
        applied = [s for ms, s in self._services if ms <= sent_ms - APPLY_LIMIT_MS]
        recent = [s for ms, s in self._services if ms > sent_ms - APPLY_LIMIT_MS]
        return {*applied[-1:], *recent}

    def _is_fault_free(self, what: str, ms: float) -> bool:
        return not any(d.overlaps(ms, ms) for d in self._fault_windows.get(what, ()))

    def _is_planned_only(self, call: Call, executions: list[_Execution]) -> bool:
        """Return whether only planned work was near when a call was cut off."""
        near = {
            window.fault
            for what in (
                call.instance,
                "store",
                *(execution.target for execution in executions),
            )
            for window in self._fault_windows.get(what, ())
            if window.overlaps(call.sent_ms, call.ended_ms)
        }
        return bool(near) and near <= {"stop", "reload"}
