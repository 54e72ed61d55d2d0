"""Task that probes targets without fresh evidence."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from eliot import log_message

from currantline.clock import Clock
from currantline.configuration import Target
from currantline.exceptions import InvariantError, WireError
from currantline.load._budget import ProbeBudget
from currantline.load._observation import (
    LOAD_HEADER,
    Observation,
    Signal,
    TargetState,
    parse_load,
)
from currantline.load._options import LoadOptions
from currantline.load._target_tracker import TargetTracker
from currantline.membership import rendezvous_score
from currantline.wire import (
    MAX_HEALTH_CHECK_BYTES,
    Request,
    Response,
    connect,
    find_header,
)

__all__ = ["ProbeFetch", "ProbePlan", "Prober", "fetch_health"]

TICK_MS = 100.0
# A probe that the budget delays by a few ms past its phase is still sent. One that is
# delayed for longer waits for its next phase. Otherwise all targets would be probed at
# once, one period after a lease was acquired.
DUE_WINDOW_MS = 150.0


class ProbePlan(Protocol):
    """Targets to probe and the rights to probe them."""

    def list_owned(self) -> Iterable[Target]:
        """Return the targets that this instance owns in its local view."""
        ...

    def list_shared(self, now: float) -> Iterable[Target]:
        """Return further targets for which this instance holds the share right."""
        ...

    def is_requested(self, target: str, now: float) -> bool:
        """Return whether a peer recently requested evidence for a target."""
        ...

    def holds_lease(self, target: str, now: float) -> bool:
        """Return whether this instance holds the lease of a target."""
        ...

    def holds_share(self, target: str, now: float) -> bool:
        """Return whether this instance holds the share right of a target."""
        ...


class ProbeFetch(Protocol):
    """Sends one probe and returns its response."""

    async def __call__(
        self, address: str, may_send: Callable[[], bool], *, timeout_ms: float
    ) -> Response | None:
        """Connect, call ``may_send`` and send the probe if it returns true.

        Nothing is awaited between the call and sending.

        Returns
        -------
        Response or None
            None if the probe was not sent.

        Raises
        ------
        WireError
            If no complete response was received within the timeout.
        """
        ...


class Prober:
    """Probes owned targets that lack fresh evidence.

    Parameters
    ----------
    target_tracker : TargetTracker
        Receives the results.
    budget : ProbeBudget
        Limits the probes that are sent.
    plan : ProbePlan
        Targets to probe and the rights to probe them.
    clock : Clock
        Source of time.
    fetch : ProbeFetch, optional
        Sends one probe.
    options : LoadOptions, optional
        Options of the load package.
    on_probe_end : callable, optional
        Called with the target and whether its response was usable, once for every
        probe that was sent, including cancelled ones.

    Attributes
    ----------
    sent : Counter
        Probes sent per target.
    failed : Counter
        Probes without a usable response per target.
    violations : int
        Probes that were not sent because they would have exceeded the budget
        although the bucket had a token.
    """

    def __init__(
        self,
        *,
        target_tracker: TargetTracker,
        budget: ProbeBudget,
        plan: ProbePlan,
        clock: Clock,
        fetch: ProbeFetch | None = None,
        options: LoadOptions | None = None,
        on_probe_end: Callable[[str, bool], None] = lambda target, is_usable: None,
    ) -> None:
        self._on_probe_end = on_probe_end
        self._target_tracker = target_tracker
        self._budget = budget
        self._plan = plan
        self._clock = clock
        self._fetch = fetch or fetch_health
        self._options = options or LoadOptions()
        self._last_tick = clock.read()
        self._due: dict[str, float] = {}
        self._phases: dict[str, float] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self.sent: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()
        self.violations = 0

    async def run(self) -> None:
        """Send probes until cancelled."""
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_MS / 1000)
        finally:
            await self.stop()

    async def stop(self) -> None:
        """Cancel the probes in flight."""
        tasks = tuple(self._running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_until_idle(self) -> None:
        """Wait until no probe is in flight."""
        while self._running:
            await asyncio.gather(*self._running.values())

    def tick(self) -> None:
        """Start the probes that are due."""
        now = self._clock.read()
        for target in self._plan.list_owned():
            name = target.name
            if self._passes_phase(name, now):
                # Checked even if no probe is due: an unchecked right counts as lost.
                self._check(name, now)
                self._due[name] = now
            if self._is_due(name, now) and self._check(name, now):
                del self._due[name]
                self._start(target)
        for target in self._plan.list_shared(now):
            if self._passes_phase(target.name, now):
                self._check(target.name, now)
            if self._is_requested_probe_due(target.name, now) and self._check(
                target.name, now
            ):
                self._start(target)
        self._last_tick = now

    def _start(self, target: Target) -> None:
        self._running[target.name] = asyncio.create_task(self._probe(target))

    def _is_requested_probe_due(self, name: str, now: float) -> bool:
        if name in self._running or not self._plan.is_requested(name, now):
            return False
        # Peers are sent local observations only, so those of peers do not count.
        return (
            self._target_tracker.local_evidence_age(name, now)
            >= self._options.probe_interval_ms
        )

    def _check(self, name: str, now: float) -> bool:
        return self._budget.check(
            name,
            self._plan.holds_lease(name, now),
            now,
            holds_share=self._plan.holds_share(name, now),
        )

    def _is_due(self, name: str, now: float) -> bool:
        due = self._due.get(name)
        if due is None:
            return False
        is_needed = name not in self._running and self._target_tracker.needs_probe(
            name, now
        )
        if not is_needed or now - due > DUE_WINDOW_MS:
            del self._due[name]
            return False
        return True

    def _passes_phase(self, name: str, now: float) -> bool:
        # Two phases per interval: a target is probed when its evidence is at most 1.5
        # intervals old, which leaves time for a second probe before it expires.
        cycle_ms = self._options.probe_interval_ms / 2
        phase_ms = self._phases.get(name)
        if phase_ms is None:
            phase_ms = rendezvous_score("probe", name) % cycle_ms
            self._phases[name] = phase_ms
        return (now - phase_ms) // cycle_ms > (self._last_tick - phase_ms) // cycle_ms

    async def _probe(self, target: Target) -> None:
        sent: list[float] = []
        response = None
        try:
            response = await self._fetch(
                target.address,
                lambda: self._may_send(target.name, sent),
                timeout_ms=self._options.probe_timeout_ms,
            )
        except WireError as error:
            log_message("currantline:probe", target=target.name, error=str(error))
        finally:
            del self._running[target.name]
            if sent:
                self._record_result(target.name, response, sent[0])

    def _may_send(self, name: str, sent: list[float]) -> bool:
        # The clock and the rights are read again because the process may have been
        # paused while the connection was being opened.
        now = self._clock.read()
        try:
            is_allowed = self._budget.allow(
                name,
                self._plan.holds_lease(name, now),
                now,
                holds_share=self._plan.holds_share(name, now),
            )
        except InvariantError as error:
            self.violations += 1
            log_message("currantline:invariant", target=name, error=str(error))
            return False
        if is_allowed:
            sent.append(now)
            self.sent[name] += 1
        return is_allowed

    def _record_result(self, name: str, response: Response | None, sent: float) -> None:
        report = None
        if response is not None:
            report = parse_load(find_header(response.headers, LOAD_HEADER))
        is_usable = response is not None and response.status == 200
        if not is_usable and report and report.state is not TargetState.DRAINING:
            report = None
        if not is_usable:
            self.failed[name] += 1
        self._on_probe_end(name, is_usable)
        signal = Signal.PROBED if is_usable else Signal.PROBE_FAILED
        observation = Observation(signal=signal, sent=sent, report=report)
        self._target_tracker.observe(name, observation, self._clock.read())


async def fetch_health(
    address: str, may_send: Callable[[], bool], *, timeout_ms: float
) -> Response | None:
    """Send ``GET /health`` over a new connection; see `ProbeFetch`."""
    request = Request(method="GET", target="/health", headers=(("host", address),))
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            connection = await connect(address, max_body_bytes=MAX_HEALTH_CHECK_BYTES)
            try:
                if not may_send():
                    return None
                connection.write_request(request)
                return await connection.read_response(max_bytes=MAX_HEALTH_CHECK_BYTES)
            finally:
                connection.abort()
    except TimeoutError as error:
        raise WireError(
            f"no response from {address} within {timeout_ms:g} ms"
        ) from error
    except OSError as error:
        raise WireError(f"cannot reach {address}: {error.strerror}") from error
