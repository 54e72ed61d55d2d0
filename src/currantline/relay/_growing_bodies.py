"""Memory for request bodies whose size is not known before their end.

They cannot be reserved as a whole, so several partly read ones may use up the memory
together. The one of which the least has been read is refused then. The largest of them
is never refused for another one, so bodies are completed under any load.
"""

from collections.abc import Callable

import attrs

from currantline.exceptions import NoMemoryForBodyError
from currantline.relay._body_budget import BodyBudget

__all__ = ["GrowingBodies", "GrowingBody"]


@attrs.define(eq=False)
class GrowingBody:
    """A body that is being read.

    Parameters
    ----------
    refuse : callable
        Ends the reading of the body with an error.
    reserved_bytes : int
        Memory reserved for the body.
    read_bytes : int
        Size of the part that has been read.
    is_refused : bool
        Whether the body has been refused.
    """

    refuse: Callable[[NoMemoryForBodyError], object]
    reserved_bytes: int
    read_bytes: int = 0
    is_refused: bool = False


class GrowingBodies:
    """Reserves memory for bodies while they are read.

    Parameters
    ----------
    budget : BodyBudget
        Memory for all bodies.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._bodies: set[GrowingBody] = set()

    def start(self, body: GrowingBody) -> None:
        """Start to count a body that has a first reservation."""
        self._bodies.add(body)

    def add(self, body: GrowingBody, size: int) -> None:
        """Count a part of a body that has been read.

        Raises
        ------
        NoMemoryForBodyError
            If the body is refused.
        """
        body.read_bytes += size
        missing = self._budget.bound(body.read_bytes) - body.reserved_bytes
        while missing > 0 and body in self._bodies and not self._budget.grow(missing):
            smallest = min(self._bodies, key=lambda each: each.read_bytes)
            self.refuse(smallest, f"no memory after {smallest.read_bytes} bytes")
        if body not in self._bodies:
            raise NoMemoryForBodyError(f"no memory after {body.read_bytes} bytes")
        body.reserved_bytes += max(0, missing)

    def end(self, body: GrowingBody) -> None:
        """Stop to count a body that is complete or has failed.

        The reservation shrinks to the part that has been read.
        """
        if body in self._bodies:
            self._bodies.remove(body)
            unused = max(0, body.reserved_bytes - body.read_bytes)
            body.reserved_bytes -= unused
            self._budget.release(unused)

    def refuse(self, body: GrowingBody, reason: str) -> None:
        """Refuse a body, whether its size is known or not."""
        self._bodies.discard(body)
        body.is_refused = True
        self._budget.release(body.reserved_bytes)
        body.reserved_bytes = 0
        body.refuse(NoMemoryForBodyError(reason))
