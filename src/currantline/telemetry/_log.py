"""One JSON line for each event, bounded in volume and never blocking."""

import json
import os
from collections.abc import Callable
from typing import Any

from currantline.clock import Clock

__all__ = ["EventLog", "open_standard_output"]

# Lines that may be written at once, and lines that are added to that each second.
# Four times the requests of an instance at the peaks of today's deployments.
BURST_LINES = 400.0
LINES_PER_S = 200.0

# Bytes kept for a reader that does not keep up.
MAX_BUFFER_BYTES = 256 * 1024


class EventLog:
    """Writes events as JSON lines to a file descriptor.

    Lines over the rate, or that the reader does not take, are counted and reported
    by the next line that is written.

    Parameters
    ----------
    instance : str
        Name of this instance.
    clock : Clock
        Source of time.
    write : callable
        Writes bytes and returns how many were taken; raises `BlockingIOError` if
        none can be taken now.
    read_wall_clock : callable, optional
        Returns the time of day in seconds; the lines carry it so that logs of
        several instances can be put in order. No decision depends on it.
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
            Fixed word for the kind of event.
        **fields : Any
            Values that JSON can hold.
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
        """Hand on buffered lines as far as the reader takes them."""
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
    """Return a writer for standard output that never blocks."""
    os.set_blocking(1, False)
    return lambda data: os.write(1, data)
