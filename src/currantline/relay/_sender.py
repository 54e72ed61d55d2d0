"""One send of a request to one target."""

import asyncio
import enum

import attrs

from currantline.clock import Clock
from currantline.exceptions import WireError
from currantline.placement import Target, TypicalTimes
from currantline.relay._names import HeaderNames
from currantline.relay._placer import Work
from currantline.relay._pool import ConnectionPool, Lease
from currantline.wire import Request, Response, find_header, strip_hop_by_hop

__all__ = ["Ending", "SendResult", "Sender"]

MISDIRECTED = 421

# A send that is given up after this multiple of the usual time counts as part of a
# failure: the request may have been a straggler.
SLOW_RATIO = 2.0
SLOW_WEIGHT = 0.5

# An answer to an earlier request may arrive in front of the awaited one; more than
# one never was seen.
MAX_FOREIGN_ANSWERS = 2


class Ending(enum.Enum):
    """How a send ended."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen(eq=False, kw_only=True)
class SendResult:
    """End of one send.

    Parameters
    ----------
    ending : Ending
        ``SUCCESS`` and ``FAILURE`` are whole answers of the target. After
        ``UNKNOWN`` the request may have run.
    answer : Response or None
        The target's answer.
    target : str
        Name of the target.
    reason : str
        What went wrong.
    took_ms : float
        Time from the send to its end, in milliseconds.
    """

    ending: Ending
    answer: Response | None = None
    target: str
    reason: str = ""
    took_ms: float = 0.0


class Sender:
    """Sends requests to targets and judges their answers.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to targets.
    names : HeaderNames
        Header names.
    typical : TypicalTimes
        Usual times of routes, which answers update.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        *,
        names: HeaderNames,
        typical: TypicalTimes,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._names = names
        self._typical = typical
        self._clock = clock

    async def send(
        self, work: Work, request: Request, target: Target, lease: Lease
    ) -> SendResult:
        """Send a request and return how it ended.

        The request is written before this coroutine suspends for the first time.
        """
        sent_ms = self._clock.read()
        target.sends.append(sent_ms)
        answer: Response | None = None
        reason = "cancelled"
        try:
            lease.connection.write_request(self._address(request, target, work))
            answer = await self._read_own_answer(lease, work)
        except WireError as error:
            reason = str(error)
        except asyncio.CancelledError:
            self._learn_slowness(target, work, sent_ms)
            raise
        finally:
            target.sends.remove(sent_ms)
            if answer is None:
                self._pool.drop(lease)
            elif self._pool.finish(lease, answer):
                self._pool.give_back(lease)
        took_ms = self._clock.read() - sent_ms
        result = self._judge(answer, target, reason, took_ms)
        self._learn(result, target, work)
        return result

    def _address(self, request: Request, target: Target, work: Work) -> Request:
        names = self._names
        own = (names.time_left, names.expected_target)
        passed = strip_hop_by_hop(request.headers)
        left_ms = max(1, int(work.ends_ms - self._clock.read()))
        return attrs.evolve(
            request,
            headers=(
                *(header for header in passed if header[0] not in own),
                (names.time_left, str(left_ms)),
                (names.expected_target, target.name),
            ),
        )

    async def _read_own_answer(self, lease: Lease, work: Work) -> Response:
        for _ in range(MAX_FOREIGN_ANSWERS):
            answer = await lease.connection.read_response(accept_unframed=True)
            request_id = find_header(answer.headers, self._names.request_id)
            if request_id is None or request_id == work.request_id:
                return answer
            lease.connection.discard_response()
        raise WireError("only answers to other requests came")

    def _judge(
        self, answer: Response | None, target: Target, reason: str, took_ms: float
    ) -> SendResult:
        ending = Ending.UNKNOWN
        if answer is not None:
            ending, reason = self._classify(answer)
        return SendResult(
            ending=ending,
            answer=answer if ending is not Ending.UNKNOWN else None,
            target=target.name,
            reason=reason,
            took_ms=took_ms,
        )

    def _classify(self, answer: Response) -> tuple[Ending, str]:
        names = self._names
        if find_header(answer.headers, names.not_run) is not None:
            return Ending.NOT_RUN, f"rejected with {answer.status}"
        if answer.status == MISDIRECTED:
            return Ending.NOT_RUN, "another target answers at the address"
        if find_header(answer.headers, names.signature) is None:
            return Ending.UNKNOWN, f"status {answer.status} without a signature"
        if find_header(answer.headers, names.request_id) is None:
            return Ending.UNKNOWN, f"status {answer.status} without a request id"
        if find_header(answer.headers, "content-encoding") is not None:
            return Ending.UNKNOWN, "the body is encoded"
        if 200 <= answer.status < 300:
            return Ending.SUCCESS, ""
        return Ending.FAILURE, f"status {answer.status}"

    def _learn_slowness(self, target: Target, work: Work, sent_ms: float) -> None:
        now = self._clock.read()
        if now - sent_ms > SLOW_RATIO * self._typical.read(work.route.name):
            target.standing.note_failure(now, SLOW_WEIGHT)

    def _learn(self, result: SendResult, target: Target, work: Work) -> None:
        now = self._clock.read()
        if result.ending is Ending.SUCCESS:
            ratio = self._typical.note(work.route.name, result.took_ms)
            target.standing.note_success(now, ratio)
            return
        if result.answer is not None and result.answer.status == MISDIRECTED:
            target.is_misplaced = True
        target.standing.note_failure(now)
