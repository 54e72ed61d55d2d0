"""Checks observations of callers and targets against the guarantees."""

import math
from collections import Counter, defaultdict

import attrs

__all__ = ["Call", "FaultWindow", "GuaranteeChecker"]

# Statuses that guarantee that a request was not and will not be executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Time after the store's acknowledgement by which a drain or a configuration must be
# in effect.
APPLY_LIMIT_MS = 2_000.0

# Time after the end of a fault from which guarantees with a time bound apply again.
SETTLE_MS = 3_000.0

# Time after a target first names a limit from which the limit must be kept, the length
# of the windows in which requests are counted, and what is allowed beyond the limit.
LIMIT_APPLY_MS = 3_000.0
LIMIT_WINDOW_MS = 4_000.0
LIMIT_RATIO, LIMIT_SLACK = 1.5, 5

# Time after a rejection from which the silence that it asks for must be kept, and the
# number of requests during it that are allowed.
SILENCE_APPLY_MS = 500.0
SILENCE_SLACK = 2

# Faults of an instance that do not excuse it from what a target told it.
MINOR_FAULTS = frozenset({"reload", "store"})

# Share of requests that must succeed after all faults have ended.
MIN_ANSWERED_SHARE = 0.25


@attrs.define(kw_only=True)
class Call:
    """A request sent by a caller.

    Parameters
    ----------
    name : str
        Request identifier.
    is_idempotent : bool
        Whether it may be executed more than once.
    instance : str
        Host of the instance that received it.
    sent_ms : float
        Time at which it was sent.
    status : int
        Status of the response; 0 if the connection ended without one.
    is_match : bool
        Whether the response is complete and belongs to this request.
    ended_ms : float
        Time of the response or of the end of the connection.
    is_abandoned : bool
        Whether the caller closed the connection while it waited for an earlier
        response.
    """

    name: str
    is_idempotent: bool
    instance: str
    sent_ms: float
    status: int = 0
    is_match: bool = True
    ended_ms: float = 0.0
    is_abandoned: bool = False


@attrs.define
class FaultWindow:
    """The time during which a fault is active.

    Parameters
    ----------
    fault : str
        Kind of fault; ``stop`` and ``reload`` are planned maintenance.
    begin_ms : float
        Start of the fault.
    end_ms : float
        End of the fault; infinite while it is active.
    """

    fault: str
    begin_ms: float
    end_ms: float = math.inf

    def overlaps(self, begin_ms: float, end_ms: float) -> bool:
        """Return whether the fault or its settling time overlaps an interval."""
        return self.begin_ms <= end_ms and self.end_ms >= begin_ms - SETTLE_MS


@attrs.define
class LimitWindow:
    """The time during which a target limits its requests.

    Parameters
    ----------
    target : str
        Name of the target.
    per_s : float
        Requests per second that it takes from all instances together.
    begin_ms : float
        Time at which it first names the limit.
    end_ms : float
        Time at which it stops naming it; infinite until then.
    """

    target: str
    per_s: float
    begin_ms: float
    end_ms: float = math.inf


@attrs.frozen
class _Execution:
    target: str
    service: str
    started_ms: float


@attrs.frozen
class _Rejection:
    name: str
    target: str
    after_ms: float
    ms: float


@attrs.define
class GuaranteeChecker:
    """Collects observations and reports violated guarantees.

    Instances, targets and requests are identified by name. All times are readings of
    the same clock in milliseconds.
    """

    _calls: dict[str, Call] = attrs.field(factory=dict)
    _executions: dict[str, list[_Execution]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    _fault_windows: dict[str, list[FaultWindow]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    _limit_windows: list[LimitWindow] = attrs.field(factory=list)
    _drain_times_ms: dict[str, float] = attrs.field(factory=dict)
    _leaving_times_ms: dict[str, float] = attrs.field(factory=dict)
    _rejections: list[_Rejection] = attrs.field(factory=list)
    _services: list[tuple[float, str]] = attrs.field(factory=list)

    def record_call(self, call: Call) -> None:
        """Record a request of a caller."""
        self._calls[call.name] = call

    def record_execution(self, name: str, target: str, service: str, ms: float) -> None:
        """Record that a target started to execute a request."""
        self._executions[name].append(_Execution(target, service, ms))

    def record_fault(self, what: str, fault: str, ms: float) -> FaultWindow:
        """Record the start of a fault of an instance, a target or the ``store``.

        Returns
        -------
        FaultWindow
            The caller of this method sets ``end_ms`` when the fault ends.
        """
        window = FaultWindow(fault, ms)
        self._fault_windows[what].append(window)
        return window

    def record_limit(self, target: str, per_s: float, ms: float) -> LimitWindow:
        """Record that a target names a limit.

        Returns
        -------
        LimitWindow
            The caller of this method sets ``end_ms`` when the limit ends.
        """
        window = LimitWindow(target, per_s, ms)
        self._limit_windows.append(window)
        return window

    def record_drain(self, target: str, ms: float) -> None:
        """Record that the store acknowledged the drain of a target."""
        self._drain_times_ms[target] = ms

    def record_leaving(self, target: str, ms: float) -> None:
        """Record that all responses of a target say from now on that it leaves."""
        self._leaving_times_ms[target] = ms

    def record_rejection(
        self, name: str, target: str, after_ms: float, ms: float
    ) -> None:
        """Record that a target rejected a request and named a time of silence."""
        self._rejections.append(_Rejection(name, target, after_ms, ms))

    def record_configuration(self, service: str, ms: float) -> None:
        """Record that the store acknowledged routing requests to a service."""
        self._services.append((ms, service))

    def count_statuses(self) -> Counter[int]:
        """Return the number of calls by status."""
        return Counter(call.status for call in self._calls.values())

    def find_violations(self, *, checks_time_bounds: bool = True) -> list[str]:
        """Return a line for each violated guarantee.

        Parameters
        ----------
        checks_time_bounds : bool, default=True
            Whether guarantees with a time bound are checked. A machine that is busy
            with other work may not meet them.
        """
        violations: list[str] = []
        for call in self._calls.values():
            executions = self._executions.get(call.name, [])
            violations += self._check_outcome(call, executions)
            if checks_time_bounds:
                violations += self._check_targets(call, executions)
        if checks_time_bounds:
            for window in self._limit_windows:
                violations += self._check_limit(window)
            for target, begin_ms in self._leaving_times_ms.items():
                violations += self._check_leaving(target, begin_ms)
            for rejection in self._rejections:
                violations += self._check_silence(rejection)
        unknown = self._executions.keys() - self._calls.keys()
        return violations + [
            f"{name} was executed but never sent" for name in sorted(unknown)
        ]

    def check_recovery(self, since_ms: float) -> list[str]:
        """Return a line if too few of the calls sent after a time succeeded."""
        calls = [c for c in self._calls.values() if c.sent_ms >= since_ms]
        served = sum(1 for call in calls if call.status == 200)
        if calls and served >= MIN_ANSWERED_SHARE * len(calls):
            return []
        return [
            f"only {served} of {len(calls)} calls succeeded after all faults had ended"
        ]

    def _check_outcome(self, call: Call, executions: list[_Execution]) -> list[str]:
        violations = []
        if len(executions) > 1 and not call.is_idempotent:
            violations.append(f"{call.name} was executed {len(executions)} times")
        if call.status in NOT_RUN_STATUSES and executions and not call.is_idempotent:
            violations.append(f"{call.name} was executed but got status {call.status}")
        if call.status == 200 and not call.is_match:
            violations.append(f"{call.name} got a mismatched or incomplete response")
        if call.status == 404:
            violations.append(f"{call.name} got status 404")
        is_cut = call.status == 0 and executions and not call.is_abandoned
        if is_cut and self._is_planned_only(call, executions):
            violations.append(f"{call.name} was interrupted by planned maintenance")
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
                    f"{call.name} reached {execution.target}, drained for {late_ms} ms"
                )
            if execution.service not in self._list_allowed_services(call.sent_ms):
                violations.append(
                    f"{call.name} reached {execution.service}, which is not in effect"
                )
        return violations

    def _check_limit(self, window: LimitWindow) -> list[str]:
        """Count the requests of instances without a fault in each window of time."""
        begin_ms = window.begin_ms + LIMIT_APPLY_MS
        times = sorted(
            execution.started_ms
            for name, executions in self._executions.items()
            for execution in executions
            if execution.target == window.target
            and begin_ms <= execution.started_ms <= window.end_ms
            and name in self._calls
            and self._is_fault_free(self._calls[name].instance, execution.started_ms)
        )
        most = max(
            (sum(0 <= t - start < LIMIT_WINDOW_MS for t in times) for start in times),
            default=0,
        )
        per_window = window.per_s * LIMIT_WINDOW_MS / 1000
        if most <= LIMIT_RATIO * per_window + LIMIT_SLACK:
            return []
        return [
            f"{window.target} got {most} requests in 4 s, limit {window.per_s:.1f}/s"
        ]

    def _check_leaving(self, target: str, begin_ms: float) -> list[str]:
        """Look for requests of instances that had passed on that a target leaves."""
        calls = [
            (self._calls[name], execution)
            for name, executions in self._executions.items()
            for execution in executions
            if execution.target == target and name in self._calls
        ]
        heard_ms: dict[str, float] = {}
        for call, _ in calls:
            if call.status == 200 and call.sent_ms >= begin_ms:
                earliest_ms = heard_ms.get(call.instance, math.inf)
                heard_ms[call.instance] = min(earliest_ms, call.ended_ms)
        return [
            f"{call.name} reached {target} after {call.instance} knew that it leaves"
            for call, execution in calls
            if (since_ms := heard_ms.get(call.instance, math.inf)) + APPLY_LIMIT_MS
            < call.sent_ms
            and self._has_run(call.instance, since_ms, execution.started_ms)
        ]

    def _check_silence(self, rejection: _Rejection) -> list[str]:
        """Count the requests of an instance to a target that asked it for silence."""
        if rejection.name not in self._calls:
            return []
        instance = self._calls[rejection.name].instance
        arrivals = [
            (name, execution.started_ms)
            for name, executions in self._executions.items()
            for execution in executions
            if execution.target == rejection.target
        ]
        arrivals += [
            (each.name, each.ms)
            for each in self._rejections
            if each.target == rejection.target
        ]
        begin_ms = rejection.ms + SILENCE_APPLY_MS
        end_ms = rejection.ms + rejection.after_ms
        early = [
            ms
            for name, ms in arrivals
            if begin_ms < ms < end_ms
            and name in self._calls
            and self._calls[name].instance == instance
        ]
        is_excused = not (
            self._has_run(instance, rejection.ms, end_ms)
            and self._has_run(rejection.target, rejection.ms, rejection.ms)
        )
        if len(early) <= SILENCE_SLACK or is_excused:
            return []
        return [f"{len(early)} requests reached {rejection.target} in its silence"]

    def _has_run(self, what: str, begin_ms: float, end_ms: float) -> bool:
        """Return whether no fault but minor ones has interrupted an interval."""
        return not any(
            window.fault not in MINOR_FAULTS and window.overlaps(begin_ms, end_ms)
            for window in self._fault_windows.get(what, ())
        )

    def _list_allowed_services(self, sent_ms: float) -> set[str]:
        applied = [s for ms, s in self._services if ms <= sent_ms - APPLY_LIMIT_MS]
        recent = [s for ms, s in self._services if ms > sent_ms - APPLY_LIMIT_MS]
        return {*applied[-1:], *recent}

    def _is_fault_free(self, what: str, ms: float) -> bool:
        return not any(d.overlaps(ms, ms) for d in self._fault_windows.get(what, ()))

    def _is_planned_only(self, call: Call, executions: list[_Execution]) -> bool:
        """Return whether only planned maintenance can have failed a call."""
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
