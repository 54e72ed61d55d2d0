"""Memory for the bodies that are being received on all connections.

A faulty peer may send a body without end. Each body has a limit of its own, but several
of them together would exceed the memory of the process. The longest one is given up
then, so that short bodies are still received.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from currantline.exceptions import BodyTooLargeError

if TYPE_CHECKING:
    from currantline.wire._stream import ByteStream

__all__ = ["BodyMemory"]


class BodyMemory:
    """Limits the total size of the bodies that are being received.

    Parameters
    ----------
    max_bytes : int
        Maximum total size.
    on_change : callable, optional
        Called with each change of the total size.
    """

    def __init__(
        self, max_bytes: int, *, on_change: Callable[[int], object] | None = None
    ) -> None:
        self._max_bytes = max_bytes
        self._on_change = on_change
        self._held: dict[ByteStream, int] = {}
        self.total_bytes = 0

    def add(self, stream: "ByteStream", size: int) -> None:
        """Count received bytes; interrupt the longest bodies above the limit.

        The reader of an interrupted stream gets a `BodyTooLargeError`.
        """
        self._held[stream] = self._held.get(stream, 0) + size
        self._change_total(size)
        while self.total_bytes > self._max_bytes:
            longest = max(self._held, key=lambda each: self._held[each])
            held = self._held[longest]
            self.release(longest)
            longest.interrupt(
                BodyTooLargeError(f"no memory for more than {held} bytes of a body")
            )

    def release(self, stream: "ByteStream") -> None:
        """Forget the body of a stream."""
        self._change_total(-self._held.pop(stream, 0))

    def _change_total(self, size: int) -> None:
        self.total_bytes += size
        if size and self._on_change is not None:
            self._on_change(size)
