"""Memory of one request in the accounts of the instance."""

import attrs

from currantline.exceptions import NoMemoryForBodyError, NoMemoryForRequestError
from currantline.memory_account import Kind
from currantline.relay._body_admission import BodyAdmission
from currantline.wire import Holding

__all__ = ["RequestCharge"]


@attrs.define(eq=False)
class RequestCharge:
    """Memory of one request, from the end of its head until it is released.

    Parameters
    ----------
    holding : Holding
        What its connection holds.
    bodies : BodyAdmission
        Memory reserved for bodies.
    head_bytes, body_bytes, reserved_bytes : int
        Memory counted for the head and the body, and reserved for the body.
    """

    holding: Holding
    bodies: BodyAdmission
    head_bytes: int = 0
    body_bytes: int = 0
    reserved_bytes: int = 0

    def add_head(self, size: int) -> None:
        """Count a head that has been read."""
        if not self.holding.add(Kind.HEAD, size):
            raise NoMemoryForRequestError("no memory for the head")
        self.head_bytes += size

    def add_body(self, size: int) -> None:
        """Count a part of the body that has been read."""
        if not self.holding.add(Kind.BODY, size):
            raise NoMemoryForBodyError("no memory for the rest of the body")
        self.body_bytes += size

    def check(self) -> None:
        """Raise an error if the connection has been evicted."""
        if self.holding.is_evicted:
            raise NoMemoryForRequestError("the memory went to other connections")

    def release(self) -> None:
        """Count the memory as free."""
        self.holding.release(Kind.HEAD, self.head_bytes)
        self.holding.release(Kind.BODY, self.body_bytes)
        self.bodies.release(self.reserved_bytes)
