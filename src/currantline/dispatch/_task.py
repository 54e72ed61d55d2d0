"""Asyncio task that runs a dispatcher and issues permits for forwarding."""

import asyncio
import contextlib
import itertools
import math
from collections.abc import Callable, Mapping

import attrs
from eliot import log_message

from currantline.admission import WorkItem
from currantline.clock import Clock
from currantline.configuration import Configuration, Target
from currantline.directory import Ownership
from currantline.dispatch._counts import ServiceCounts
from currantline.dispatch._dispatcher import Dispatcher
from currantline.dispatch._messages import Effect, Message, Send, Start
from currantline.exceptions import RequestRefusedError
from currantline.forwarding import AttemptResult, Permit, compute_connection_limit

__all__ = ["DispatchTask"]

# Maximum time between two reads of the clock; a longer gap indicates a pause.
MAX_SLEEP_MS = 250.0


@attrs.frozen
class _Grant:
    start: Start
    target: Target
    granted_at: float


class DispatchTask:
    """Applies the effects of a dispatcher and issues permits.

    Parameters
    ----------
    dispatcher : Dispatcher
        Makes the decisions.
    clock : Clock
        Source of the time.
    send : callable
        Takes an instance and a message, and returns without waiting. Messages may
        be lost.
    pause_ms : float
        Gap between two reads of the clock above which loans and limits are
        discarded.
    on_pause : callable
        Called after a pause, before any decision, to set limits again.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        *,
        clock: Clock,
        send: Callable[[str, Message], None],
        pause_ms: float = 1000.0,
        on_pause: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_pause = on_pause
        self._dispatcher = dispatcher
        self._clock = clock
        self._send = send
        self._pause_ms = pause_ms
        self._targets: dict[str, Target] = {}
        self._max_instances = 1
        self._futures: dict[str, asyncio.Future[_Grant]] = {}
        # Callers choose request identifiers, which may therefore collide.
        self._numbers = itertools.count()
        self._permits: dict[int, tuple[Permit, str]] = {}
        self._last_read = clock.read()
        self._due = math.inf
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that calls `wake` whenever something is due."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the task and refuse all waiting requests."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        for future in list(self._futures.values()):
            if not future.done():
                future.set_exception(
                    RequestRefusedError("the instance is stopping", reason="stopping")
                )

    async def acquire(self, work: WorkItem) -> Permit:
        """Wait for a slot.

        Raises
        ------
        RequestRefusedError
            If the request is refused.
        """
        key = f"{next(self._numbers)}"
        loop = asyncio.get_running_loop()
        future: asyncio.Future[_Grant] = loop.create_future()
        self._futures[key] = future
        now = self._read_clock()
        inner = attrs.evolve(work, request_id=key)
        self._apply(self._dispatcher.submit(inner, now))
        try:
            grant = await future
        except (asyncio.CancelledError, RequestRefusedError):
            effects = self._dispatcher.cancel(key, self._read_clock())
            self._apply(effects)
            raise
        finally:
            del self._futures[key]
        permit = Permit(
            request_id=work.request_id,
            target=grant.target.name,
            address=grant.target.address,
            connections=compute_connection_limit(
                grant.target.connections, self._max_instances
            ),
            is_long=grant.start.is_long,
            granted=grant.granted_at,
        )
        # Equal permits may exist at the same time, so they are told apart by identity.
        self._permits[id(permit)] = (permit, key)
        return permit

    def release(
        self, permit: Permit, result: AttemptResult, *, duration_ms: float
    ) -> None:
        """Return a permit with the result of its use."""
        _, key = self._permits.pop(id(permit))
        effects = self._dispatcher.finish(key, result, self._read_clock())
        self._apply(effects)

    def receive(self, sender: str, message: Message) -> None:
        """Handle a message from another instance."""
        self._apply(self._dispatcher.receive(sender, message, self._read_clock()))

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the services of a configuration."""
        self._max_instances = configuration.max_instances
        services = configuration.services
        self._targets = {t.name: t for s in services.values() for t in s.targets}
        for service in services.values():
            self._dispatcher.set_service(service)
        removal_effects = self._dispatcher.retain_services(
            services.keys(), self._read_clock()
        )
        self._apply(removal_effects)

    def set_ownership(self, service: str, ownership: Ownership) -> None:
        """Apply the current owners of a service."""
        now = self._read_clock()
        self._apply(self._dispatcher.set_ownership(service, ownership, now))

    def set_limit(
        self, target: str, slots: int, *, accepts_loans: bool | None = None
    ) -> None:
        """Set how many slots of a target may be used now, see `Dispatcher`."""
        effects = self._dispatcher.set_limit(
            target, slots, self._read_clock(), accepts_loans=accepts_loans
        )
        self._apply(effects)

    def counts(self) -> Mapping[str, ServiceCounts]:
        """Return the state of each service for metrics."""
        return self._dispatcher.counts(self._clock.read())

    def list_starved(self) -> list[str]:
        """Return services whose requests wait while no owner responds."""
        return self._dispatcher.list_starved(self._clock.read())

    def wake(self) -> None:
        """Do all that is due now."""
        self._apply(self._dispatcher.tick(self._read_clock()))

    def _read_clock(self) -> float:
        """Read the clock and discard outdated state after a pause."""
        now = self._clock.read()
        gap_ms = now - self._last_read
        self._last_read = now
        if gap_ms > self._pause_ms:
            log_message("currantline:dispatch:pause", gap_ms=gap_ms)
            self._apply(self._dispatcher.reset(now))
            self._on_pause()
        return now

    def _apply(self, effects: list[Effect]) -> None:
        """Apply effects and update the next due time."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect.instance, effect.message)
                continue
            future = self._futures.get(effect.request_id)
            if future is None or future.done():
                continue
            if isinstance(effect, Start):
                # The target may leave the configuration before the waiter resumes.
                target = self._targets[effect.target]
                future.set_result(_Grant(effect, target, self._last_read))
            else:
                reason = effect.reason
                future.set_exception(
                    RequestRefusedError(f"refused: {reason}", reason=reason)
                )
        due = self._dispatcher.next_due(self._last_read)
        if due < self._due:
            self._changed.set()
        self._due = due

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            wait_ms = min(MAX_SLEEP_MS, max(0.0, self._due - self._clock.read()))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            self.wake()
