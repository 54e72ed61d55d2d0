"""Record of what was sent, answered and run."""

import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes one line for each event, with the time since the start of the script.

    Parameters
    ----------
    path : Path
        File to write.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def read_clock(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self._started

    def write(self, event: str, *details: object, shown: bool = False) -> None:
        """Write an event; if `shown`, also to standard output."""
        text = " ".join(str(detail) for detail in (event, *details))
        line = f"{self.read_clock():9.3f} {text}"
        print(line, file=self._file, flush=True)
        if shown:
            print(line, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
