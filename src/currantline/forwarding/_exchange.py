"""The state of one request and the rules that it can never break."""

import enum

from currantline.exceptions import InvariantError

__all__ = ["Exchange", "Step"]


class Step(enum.Enum):
    """Where a request stands."""

    RECEIVED = "received"
    QUEUED = "queued"
    ASSIGNED = "assigned"
    SENDING = "sending"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


ENDS = frozenset({Step.ANSWERED, Step.NOT_RUN, Step.UNKNOWN})


class Exchange:
    """One request from its arrival to its single end.

    Every method raises `InvariantError` if the step is not allowed: a second
    end, *not run* after a byte was handed to a transport, a second send of a
    non-idempotent request, or a send after the deadline.

    Parameters
    ----------
    idempotent : bool
        Whether the request may be sent more than once.
    deadline : float
        Time after which it must not be sent, in milliseconds of the clock.

    Examples
    --------
    >>> exchange = Exchange(idempotent=False, deadline=10.0)
    >>> exchange.queue()
    >>> exchange.assign()
    >>> exchange.send(now=5.0)
    >>> exchange.refuse()
    Traceback (most recent call last):
    ...
    currantline.exceptions.InvariantError: not run, but sent 1 times
    """

    def __init__(self, *, idempotent: bool, deadline: float) -> None:
        self._is_idempotent = idempotent
        self._deadline = deadline
        self._step = Step.RECEIVED
        self._sends = 0
        self._has_answer = False

    @property
    def step(self) -> Step:
        """Where the request stands."""
        return self._step

    @property
    def sends(self) -> int:
        """How often the request was handed to a transport."""
        return self._sends

    @property
    def is_ended(self) -> bool:
        """Whether the request has its end."""
        return self._step in ENDS

    def queue(self) -> None:
        """Wait for a slot, at first or after a failed attempt."""
        self._require(Step.RECEIVED, Step.ASSIGNED, Step.SENDING)
        if self._sends and not self._is_idempotent:
            raise InvariantError("a non-idempotent request was sent already")
        self._step = Step.QUEUED

    def assign(self) -> None:
        """Take a slot of a target."""
        self._require(Step.QUEUED)
        self._step = Step.ASSIGNED

    def send(self, *, now: float) -> None:
        """Count the request as sent; call before the first byte is written."""
        self._require(Step.ASSIGNED)
        if now >= self._deadline:
            raise InvariantError("the deadline has passed")
        if self._sends and not self._is_idempotent:
            raise InvariantError("a non-idempotent request was sent already")
        self._step = Step.SENDING
        self._sends += 1
        self._has_answer = False

    def hold_answer(self) -> None:
        """Keep a target's whole answer, such as a shed, while trying again."""
        self._require(Step.SENDING)
        self._has_answer = True

    def answer(self) -> None:
        """End with the whole answer of the latest send."""
        if not self._has_answer:
            self._require(Step.SENDING)
        self._end(Step.ANSWERED)

    def refuse(self) -> None:
        """End as not run."""
        if self._sends:
            raise InvariantError(f"not run, but sent {self._sends} times")
        self._end(Step.NOT_RUN)

    def lose(self) -> None:
        """End without knowing whether the target ran the request."""
        if not self._sends:
            raise InvariantError("unknown, but never sent")
        self._end(Step.UNKNOWN)

    def abandon(self) -> None:
        """End because nobody waits for the outcome any more."""
        self._end(Step.UNKNOWN if self._sends else Step.NOT_RUN)

    def _require(self, *allowed: Step) -> None:
        if self._step not in allowed:
            raise InvariantError(f"step not allowed from {self._step.value}")

    def _end(self, step: Step) -> None:
        if self.is_ended:
            raise InvariantError(f"ended already as {self._step.value}")
        self._step = step
