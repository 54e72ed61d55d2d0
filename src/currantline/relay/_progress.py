"""State of a request in progress."""

import attrs

from currantline.relay._selection import RequestContext
from currantline.relay._sender import SendResult
from currantline.wire import Request

__all__ = ["Progress"]


@attrs.define(eq=False)
class Progress:
    """State of a request in progress.

    Parameters
    ----------
    context : RequestContext
        The request as routed.
    request : Request
        The request as received.
    tried : set of str
        Names of the targets that received it.
    sends : int
        Number of sends, hedges included.
    first_sent_ms : float or None
        Time of the first send.
    hedges : int
        Number of hedges that were sent.
    results : list of SendResult
        Results of the sends that have ended.
    refusal_reason : str
        Why no target was found, empty if one was.
    retry_after_ms : float
        Time after which a refused caller may be served, 0 if unknown, in milliseconds.
    """

    context: RequestContext
    request: Request
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    first_sent_ms: float | None = None
    hedges: int = 0
    results: list[SendResult] = attrs.field(factory=list)
    refusal_reason: str = ""
    retry_after_ms: float = 0.0
