"""Memory for the request bodies that an instance holds.

A body is held until a target has it, for a retry after a rejection. When many callers
upload at once, the bodies would exceed the memory of the instance. Each caller
therefore waits, before its body is read, until there is room for the whole of it;
meanwhile TCP flow control holds the body back at the caller. Reserving whole bodies
rules out that many partly read ones fill the memory and none can be completed. Bodies
of unknown size are counted while they are read, see `GrowingBodies`.
"""

import asyncio
from collections import deque

import attrs

__all__ = ["MIN_BODY_BYTES_HELD", "BodyBudget", "find_max_bytes_held"]

# Memory that is not for request bodies: the program, the bodies of responses, received
# bytes that have not been read, and a copy of one body when it is complete.
OTHER_BYTES = 128 * 1024 * 1024

# Fits into the smallest machines, which have 200 MB.
MIN_BODY_BYTES_HELD = 40 * 1024 * 1024


def find_max_bytes_held(memory_bytes: int) -> int:
    """Return the total size of the request bodies that an instance may hold.

    Parameters
    ----------
    memory_bytes : int
        Memory of the machine.

    Examples
    --------
    >>> [find_max_bytes_held(mib << 20) >> 20 for mib in (200, 300, 552)]
    [72, 172, 424]
    """
    return max(MIN_BODY_BYTES_HELD, memory_bytes - OTHER_BYTES)


@attrs.define(eq=False)
class _Waiter:
    size: int
    turn: "asyncio.Future[None]"


class BodyBudget:
    """Reserves memory for request bodies in the order of their arrival.

    Parameters
    ----------
    max_bytes : int
        Total size of the bodies held at the same time. A larger body counts as this
        size, so that it is read alone.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._waiters: deque[_Waiter] = deque()
        self.held_bytes = 0

    async def reserve(self, size: int) -> int:
        """Wait for room and return the reserved size, which `release` takes.

        Parameters
        ----------
        size : int
            Size of the body in bytes.
        """
        bounded = self.bound(size)
        if not self.must_wait(size):
            self.held_bytes += bounded
            return bounded
        waiter = _Waiter(bounded, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            await waiter.turn
        except asyncio.CancelledError:
            if waiter.turn.done() and not waiter.turn.cancelled():
                self.held_bytes -= bounded
            elif waiter in self._waiters:
                # Another release may have passed over it already.
                self._waiters.remove(waiter)
            self._admit()
            raise
        return bounded

    def bound(self, size: int) -> int:
        """Return the memory that a body of a size counts as."""
        return min(size, self._max_bytes)

    def must_wait(self, size: int) -> bool:
        """Return whether a body of a size has to wait for room."""
        return bool(self._waiters) or not self._has_room(self.bound(size))

    @property
    def missing_bytes(self) -> int:
        """Memory that must be released until the first that waits is admitted."""
        if not self._waiters:
            return 0
        return self.held_bytes + self._waiters[0].size - self._max_bytes

    def grow(self, size: int) -> bool:
        """Reserve more for a body without waiting; return False if there is no room.

        A body that is being read goes before those that wait.
        """
        if not self._has_room(size):
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return reserved memory."""
        self.held_bytes -= size
        self._admit()

    def _has_room(self, size: int) -> bool:
        return self.held_bytes + size <= self._max_bytes

    def _admit(self) -> None:
        while self._waiters and self._has_room(self._waiters[0].size):
            waiter = self._waiters.popleft()
            if not waiter.turn.done():
                self.held_bytes += waiter.size
                waiter.turn.set_result(None)
