"""Priority queue of the requests that search for a target of one service.

Under overload many requests of an instance wait while all targets are full. If each of
them probed the targets, the probes would use up connections and slots there. Therefore
one request probes at a time, in order of urgency, and a target that has just finished
a request of this instance is probed immediately.
"""

import asyncio
from collections.abc import Callable

import attrs

from currantline.clock import Clock
from currantline.placement import Target

__all__ = ["ProbeQueue", "Urgency"]

# Pause after a search that found no target, in milliseconds. A full service frees a
# slot every few milliseconds, and an instance of the default weight gets one in twenty
# of them.
PROBE_PAUSE_MS = 30.0


@attrs.frozen(order=True)
class Urgency:
    """Sort key of a waiting request; the lowest one searches first.

    Parameters
    ----------
    is_overdue : bool
        Whether the request can no longer meet its latency objective.
    priority : int
        Priority of the route.
    arrived_ms : float
        Arrival time in milliseconds.
    """

    is_overdue: bool
    priority: int
    arrived_ms: float


@attrs.define(eq=False)
class _Waiter:
    get_urgency: Callable[[], Urgency]
    turn: "asyncio.Future[Target | None]"


class ProbeQueue:
    """Lets one request search for a target at a time, or a few in a large instance.

    Parameters
    ----------
    clock : Clock
        Source of time.
    get_weight : callable, optional
        Returns how many times as many callers as the smallest instances this one gets.
        It may search as often as that many of them.
    """

    def __init__(self, clock: Clock, get_weight: Callable[[], int] = lambda: 1) -> None:
        self._clock = clock
        self._get_weight = get_weight
        self._waiters: list[_Waiter] = []
        self._turns = 0
        self._paused_until_ms = 0.0
        self._freed: list[Target] = []
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    async def wait_for_turn(self, get_urgency: Callable[[], Urgency]) -> Target | None:
        """Wait until this request may search; `end_turn` must be called afterwards.

        Parameters
        ----------
        get_urgency : callable
            Returns the current urgency of the request.

        Returns
        -------
        Target or None
            A target that has just finished a request of this instance, if there is one.
        """
        turn: asyncio.Future[Target | None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(get_urgency, turn)
        self._waiters.append(waiter)
        self._grant()
        try:
            return await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.end_turn(found=True)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def end_turn(self, *, found: bool) -> None:
        """Let the next request search, after a pause if no target was found."""
        self._turns -= 1
        if not found and self._timer is None:
            pause_ms = PROBE_PAUSE_MS / self._get_weight()
            self._paused_until_ms = self._clock.read() + pause_ms
        self._grant()

    def notify_slot_freed(self, target: Target) -> None:
        """Let the next request probe a target that has just finished one."""
        if len(self._waiters):
            self._freed.append(target)
            self._grant()

    def _grant(self) -> None:
        waiters = [waiter for waiter in self._waiters if not waiter.turn.done()]
        if not waiters:
            self._freed.clear()
        if self._turns >= self._get_weight() or not waiters:
            return
        first = min(waiters, key=lambda waiter: waiter.get_urgency())
        if self._freed:
            self._grant_turn(first, self._freed.pop())
            return
        if self._timer is not None:
            return
        pause_ms = self._paused_until_ms - self._clock.read()
        if pause_ms > 0:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(pause_ms / 1000, self._end_pause)
            return
        self._grant_turn(first, None)

    def _grant_turn(self, waiter: _Waiter, freed: Target | None) -> None:
        self._turns += 1
        waiter.turn.set_result(freed)
        if self._turns < self._get_weight():
            self._grant()

    def _end_pause(self) -> None:
        self._timer = None
        self._paused_until_ms = 0.0
        self._grant()
