"""Buffer for a body that arrives in parts of any size."""

import io

from currantline.memory import LARGE_BLOCK_BYTES

__all__ = ["BodyBuffer"]

# Size from which a segment is complete. The memory of such a block returns to the
# system once it is free, so that other bodies can use it in blocks of other sizes.
MIN_SEGMENT_BYTES = 2 * LARGE_BLOCK_BYTES


class BodyBuffer:
    """Collects a body in segments of similar size.

    A part of its own object takes many times the size of a small chunk. One buffer that
    grows to the size of a large body leaves gaps in the memory of the process that are
    as large as the body.

    Attributes
    ----------
    size : int
        Number of collected bytes.
    """

    def __init__(self) -> None:
        self._segments: list[bytes] = []
        self._segment = bytearray()
        self.size = 0

    def append(self, data: bytes | bytearray) -> None:
        """Add a part to the end of the body."""
        self.size += len(data)
        self._segment += data
        if len(self._segment) >= MIN_SEGMENT_BYTES:
            self._segments.append(bytes(self._segment))
            self._segment.clear()

    def clear(self) -> None:
        """Free the collected parts."""
        self._segments.clear()
        self._segment = bytearray()

    def join(self) -> bytes:
        """Return the body, and free its segments while they are joined.

        A second copy of a body of 64 MiB would not fit into the smallest machines.
        """
        if not self._segments:
            return bytes(self._segment)
        joined = io.BytesIO()
        self._segments.append(bytes(self._segment))
        self._segments.reverse()
        while self._segments:
            joined.write(self._segments.pop())
        # The value is the buffer itself, not a copy.
        return joined.getvalue()
