"""What the forwarder keeps of one request between its attempts."""

import attrs

from currantline.admission import WorkItem
from currantline.clock import Clock
from currantline.exceptions import TargetTimeoutError
from currantline.forwarding._exchange import Exchange
from currantline.forwarding._observation import RetryBudget
from currantline.forwarding._outcome import Outcome
from currantline.forwarding._placement import AttemptResult, Permit
from currantline.forwarding._timer import Schedule
from currantline.wire import HttpConnection, Request, Response, find_header

__all__ = ["AnswerTimer", "Completion", "Progress"]


@attrs.frozen(kw_only=True)
class Completion:
    """How a request ended.

    Parameters
    ----------
    outcome : Outcome
        What the caller may conclude.
    answer : Response or None
        The target's answer.
    target : str
        Target that the request was last sent to, if any.
    reason : str
        Why there is no answer.
    attempts : int
        How often the request was sent.
    waited_ms : float
        Time spent waiting for slots, in milliseconds.
    target_ms : float
        Time from sending to the end of each attempt, in milliseconds.
    is_long : bool
        Whether the request was expected to run long when it was sent.
    """

    outcome: Outcome
    answer: Response | None = None
    target: str = ""
    reason: str = ""
    attempts: int = 0
    waited_ms: float = 0.0
    target_ms: float = 0.0
    is_long: bool = False


@attrs.define(kw_only=True)
class Progress:
    """One request and what its attempts have shown so far.

    ``target``, ``sent`` and ``answer`` describe the current attempt, and
    ``shed`` the latest answer if the request was last sent in vain to a target
    that shed it. ``is_final`` says that no other target can do better, and
    ``is_retry_paid`` that the current attempt was given up for a retry that the
    budget covers.
    """

    work: WorkItem
    request: Request
    exchange: Exchange
    budget: RetryBudget
    avoid: frozenset[str] = frozenset()
    placements: int = 0
    result: AttemptResult = AttemptResult.UNUSED
    target: str = ""
    sent: float | None = None
    answer: Response | None = None
    shed: Response | None = None
    reason: str = ""
    is_final: bool = False
    is_retry_paid: bool = False
    is_long: bool = False
    waited_ms: float = 0.0
    target_ms: float = 0.0

    def begin(self) -> None:
        """Start an attempt."""
        self.sent = self.answer = None
        self.is_retry_paid = False

    def start_send(self, permit: Permit, *, now: float) -> None:
        """Count the request as sent; the first byte is written next."""
        self.exchange.send(now=now)
        self.target, self.sent, self.shed = permit.target, now, None
        if self.exchange.sends == 1:
            self.budget.record_attempt(now)

    def take(self, answer: Response) -> AttemptResult:
        """Keep the whole answer of the current attempt."""
        self.answer = answer
        is_shed = answer.status == 503 and find_header(answer.headers, "target-shed")
        if not is_shed:
            return AttemptResult.ANSWERED
        self.shed = answer
        self.exchange.hold_answer()
        return AttemptResult.SHED

    def complete(self) -> Completion:
        """End the exchange and say how."""
        answer = self.shed
        if self.result is AttemptResult.ANSWERED:
            answer = self.answer
        if answer is not None:
            self.exchange.answer()
            outcome = Outcome.ANSWERED
        elif self.exchange.sends:
            self.exchange.lose()
            outcome = Outcome.UNKNOWN
        else:
            self.exchange.refuse()
            outcome = Outcome.NOT_RUN
        return Completion(
            outcome=outcome,
            answer=answer,
            target=self.target,
            reason="" if answer is not None else self.reason,
            attempts=self.exchange.sends,
            waited_ms=self.waited_ms,
            target_ms=self.target_ms,
            is_long=self.is_long,
        )


class AnswerTimer:
    """Timer that ends an attempt early if a retry is allowed, else at the deadline.

    Parameters
    ----------
    progress : Progress
        The request, just sent.
    http : HttpConnection
        Connection that the answer is awaited on.
    clock : Clock
        Source of time.
    schedule : Schedule
        Source of timers.
    share : float
        Part of the remaining time after which a retry is tried; 1 for none.
    """

    def __init__(
        self,
        progress: Progress,
        http: HttpConnection,
        *,
        clock: Clock,
        schedule: Schedule,
        share: float,
    ) -> None:
        self._progress = progress
        self._http = http
        self._clock = clock
        self._schedule = schedule
        remaining_ms = progress.work.deadline - clock.read()
        callback = self._retry if share < 1 else self._expire
        self._handle = schedule(remaining_ms * share, callback)

    def cancel(self) -> None:
        """Stop the timer."""
        self._handle.cancel()

    def _retry(self) -> None:
        now = self._clock.read()
        if self._progress.budget.spend(now):
            self._progress.is_retry_paid = True
            self._expire()
            return
        self._handle = self._schedule(self._progress.work.deadline - now, self._expire)

    def _expire(self) -> None:
        self._http.interrupt(TargetTimeoutError("no whole answer in time"))
