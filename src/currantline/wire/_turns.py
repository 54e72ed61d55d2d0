"""Order in which connections handle requests that were received already."""

import asyncio
from collections import deque

__all__ = ["TurnQueue"]

# Requests that are started in one turn of the event loop. Each takes 0.3 ms or more,
# and all other work waits for the end of the turn.
MAX_PER_TURN = 4


class TurnQueue:
    """Lets connections with received requests take turns.

    Many connections with many pipelined requests would otherwise all handle one in each
    turn of the event loop, which then takes seconds.
    """

    def __init__(self) -> None:
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._taken = 0
        self._is_scheduled = False

    async def take(self) -> None:
        """Wait until the next request may be handled."""
        self._schedule()
        if self._taken < MAX_PER_TURN and not self._waiters:
            self._taken += 1
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_turn)

    def _start_turn(self) -> None:
        self._is_scheduled = False
        self._taken = 0
        while self._waiters and self._taken < MAX_PER_TURN:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._taken += 1
                waiter.set_result(None)
        if self._taken:
            self._schedule()
