"""Rate-limited, non-blocking log of events as JSON lines."""

import json
import os
from collections.abc import Callable
from typing import Any

from currantline.clock import Clock

__all__ = ["EventLog", "open_standard_output"]

# Token bucket that limits the log volume. The rate is four times the peak request rate
# of an instance in today's deployments.
BURST_LINES = 400.0
LINES_PER_S = 200.0

# Size at which events are dropped because the reader does not keep up.
MAX_BUFFER_BYTES = 256 * 1024


class EventLog:
    """Writes events as JSON lines to a file descriptor.

    Events over the rate limit, or for which the buffer is full, are dropped; the next
    line that is written reports how many.

    Parameters
    ----------
    instance : str
        Name of this instance.
    clock : Clock
        Source of time.
    write : callable
        Writes bytes and returns the number written; raises `BlockingIOError` if
        it would block.
    read_wall_clock : callable, optional
        Returns the wall clock time in seconds. Each line carries it so that logs of
        several instances can be merged in order; no decision depends on it.
    """

    def __init__(
        self,
        instance: str,
        *,
        clock: Clock,
        write: Callable[[bytes], int],
        read_wall_clock: Callable[[], float] | None = None,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._read_time = read_wall_clock or (lambda: clock.read() / 1000)
        self._write_bytes = write
        self._buffer = bytearray()
        self._tokens = BURST_LINES
        self._refilled_ms = clock.read()
        self.dropped = 0

    def write(self, event: str, **fields: Any) -> None:
        """Write one event.

        Parameters
        ----------
        event : str
            Constant name of the event type.
        **fields : Any
            JSON-serialisable values.
        """
        now = self._clock.read()
        if not self._take_token(now) or len(self._buffer) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        line = {
            "event": event,
            "timestamp": round(self._read_time(), 3),
            "ms": round(now, 1),
            "instance": self._instance,
        }
        if self.dropped:
            line["dropped_lines"], self.dropped = self.dropped, 0
        self._buffer += json.dumps({**line, **fields}).encode() + b"\n"
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                written = self._write_bytes(bytes(self._buffer[:65536]))
            except BlockingIOError:
                return
            del self._buffer[:written]

    def _take_token(self, now: float) -> bool:
        refill = (now - self._refilled_ms) / 1000 * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_ms = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def open_standard_output() -> Callable[[bytes], int]:
    """Make standard output non-blocking and return a function that writes to it."""
    os.set_blocking(1, False)
    return lambda data: os.write(1, data)
