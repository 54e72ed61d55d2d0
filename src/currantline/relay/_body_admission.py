"""Admission of request bodies, and the end of those that stand still.

A caller that stops just before the end of its body would hold its reservation until the
time-out. While others wait for room, the body without progress for longest is refused.
"""

import asyncio

import attrs

from currantline.clock import Clock
from currantline.exceptions import NoMemoryForBodyError
from currantline.relay._body_budget import BodyBudget
from currantline.relay._growing_bodies import GrowingBodies, GrowingBody

__all__ = ["BODY_ROOM_TIMEOUT_MS", "BodyAdmission", "IncomingBody"]

# Time in milliseconds for which a caller waits for memory before it is refused.
BODY_ROOM_TIMEOUT_MS = 1_000.0

# Memory reserved at first for a body in chunks, whose size is not known before its end.
UNKNOWN_BODY_BYTES = 1024 * 1024

# Time in milliseconds without progress after which a body may be refused for another
# one. Lost packets are sent again after 200 to 400 ms.
STALL_MS = 500.0

# Interval between looks for such bodies while others wait, in milliseconds.
STALL_CHECK_INTERVAL_MS = 100.0

# Bytes to read for progress. Single bytes that keep a reservation are none.
PROGRESS_BYTES = 1024


@attrs.define(eq=False, kw_only=True)
class IncomingBody(GrowingBody):
    """A body that is being read.

    Parameters
    ----------
    is_chunked : bool
        Whether its size is not known before its end.
    progressed_ms : float
        Time of the last progress in milliseconds.
    unmarked_bytes : int
        Bytes read since then.
    """

    is_chunked: bool
    progressed_ms: float
    unmarked_bytes: int = 0


class BodyAdmission:
    """Reserves memory for the request bodies of all callers.

    Parameters
    ----------
    max_bytes : int
        Total size of the bodies held at the same time.
    clock : Clock
        Source of time.
    """

    def __init__(self, max_bytes: int, *, clock: Clock) -> None:
        self._budget = BodyBudget(max_bytes)
        self._growing = GrowingBodies(self._budget)
        # In the order of their start.
        self._reading: dict[IncomingBody, None] = {}
        self._is_checking = False
        self._clock = clock

    @property
    def held_bytes(self) -> int:
        """Memory reserved for request bodies."""
        return self._budget.held_bytes

    async def reserve(self, length: int | None) -> int:
        """Wait for room for a body and return the reserved size.

        Parameters
        ----------
        length : int or None
            Size of the body, None if it is not known.

        Raises
        ------
        NoMemoryForBodyError
            If there is none in time.
        """
        size = UNKNOWN_BODY_BYTES if length is None else length
        if self._budget.must_wait(size) and not self._is_checking:
            self._is_checking = True
            asyncio.get_running_loop().call_soon(self._refuse_stalled)
        try:
            async with asyncio.timeout(BODY_ROOM_TIMEOUT_MS / 1000):
                return await self._budget.reserve(size)
        except TimeoutError as error:
            raise NoMemoryForBodyError(
                f"no memory for a body of {size} bytes"
            ) from error

    def start(self, body: IncomingBody) -> None:
        """Start to read a body that has a first reservation."""
        self._reading[body] = None
        if body.is_chunked:
            self._growing.start(body)

    def add(self, body: IncomingBody, size: int) -> None:
        """Count a part of a body that has been read.

        Raises
        ------
        NoMemoryForBodyError
            If the body is refused.
        """
        if body.is_chunked:
            self._growing.add(body, size)
        if body.is_refused:
            raise NoMemoryForBodyError("no memory for the rest of the body")
        body.unmarked_bytes += size
        if body.unmarked_bytes >= PROGRESS_BYTES:
            body.unmarked_bytes = 0
            body.progressed_ms = self._clock.read()

    def end(self, body: IncomingBody) -> None:
        """Stop to count a body that is complete or has failed."""
        self._reading.pop(body, None)
        if body.is_chunked:
            self._growing.end(body)

    def release(self, size: int) -> None:
        """Return reserved memory."""
        self._budget.release(size)

    def _refuse_stalled(self) -> None:
        stalled_ms = self._clock.read() - STALL_MS
        while self._reading and self._budget.missing_bytes > 0:
            oldest = min(self._reading, key=lambda body: body.progressed_ms)
            if oldest.progressed_ms > stalled_ms:
                break
            del self._reading[oldest]
            self._growing.refuse(oldest, "no progress while others wait for memory")
        self._is_checking = self._budget.missing_bytes > 0
        if self._is_checking:
            asyncio.get_running_loop().call_later(
                STALL_CHECK_INTERVAL_MS / 1000, self._refuse_stalled
            )
