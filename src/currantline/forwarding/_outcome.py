"""What a caller may conclude about its request."""

import enum

__all__ = ["Outcome"]


class Outcome(enum.Enum):
    """What a caller may conclude about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
