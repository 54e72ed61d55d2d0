"""What forwarding needs of dispatch."""

import enum
from typing import Protocol

import attrs

from currantline.admission import WorkItem

__all__ = ["AttemptResult", "Permit", "Placement", "compute_connection_limit"]

# One connection alone would make every request wait while it is replaced.
MIN_CONNECTIONS = 2


class AttemptResult(enum.Enum):
    """How the use of a permit ended."""

    ANSWERED = "answered"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    UNUSED = "unused"
    EXPIRED = "expired"


@attrs.frozen(kw_only=True)
class Permit:
    """Right to run one request on one slot of a target.

    Parameters
    ----------
    request_id : str
        The request.
    target : str
        Name of the target.
    address : str
        IP number and port of the target.
    connections : int
        Most connections of this instance to the target.
    is_long : bool
        Whether the request is expected to run long.
    granted : float or None
        Time of the decision, in milliseconds of the clock; None for the time at
        which the permit is received.
    """

    request_id: str
    target: str
    address: str
    connections: int = MIN_CONNECTIONS
    is_long: bool = False
    granted: float | None = None


class Placement(Protocol):
    """Source of permits."""

    async def acquire(self, work: WorkItem) -> Permit:
        """Wait for a slot.

        Raises
        ------
        RequestRefusedError
            If the request is refused.
        """
        ...

    def release(
        self, permit: Permit, result: AttemptResult, *, duration_ms: float
    ) -> None:
        """Give a permit back and say how its use ended."""
        ...


def compute_connection_limit(connections: int, max_instances: int) -> int:
    """Return how many connections one instance may open to a target.

    Examples
    --------
    >>> compute_connection_limit(250, 32)
    7
    """
    return max(MIN_CONNECTIONS, connections // max_instances)
