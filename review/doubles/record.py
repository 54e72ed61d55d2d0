"""Record of what was sent, answered and run."""

import json
import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes one JSON line for each event.

    Parameters
    ----------
    path : Path
        File to write.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write an event with the seconds since the start."""
        seconds = round(time.monotonic() - self._started_s, 3)
        line = {"s": seconds, "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
