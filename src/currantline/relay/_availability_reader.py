"""Reads from responses that a target leaves, or wants no requests for a while."""

import random

from currantline.clock import Clock
from currantline.exceptions import InvalidValueError
from currantline.placement import Target
from currantline.relay._names import HeaderNames
from currantline.relay._responses import is_misdirected
from currantline.telemetry import EventLog
from currantline.validators import parse_amount
from currantline.wire import Response, find_header

__all__ = ["AvailabilityReader"]

LEAVING = "1"
UNAVAILABLE = 503

# Maximum time of silence in milliseconds. A longer one is taken for a mistake that must
# not keep a target from being used for hours.
MAX_SILENCE_MS = 300_000.0

# The silence is extended by a random share of up to this, so that the instances do not
# return to the target together.
JITTER_SHARE = 0.1


class AvailabilityReader:
    """Marks targets by what they say of themselves in their responses.

    Both marks belong to the start of a target that sent the response. A new start of
    the target has none.

    Parameters
    ----------
    names : HeaderNames
        Header names.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws the extension of a silence.
    log : EventLog
        Log of events.
    """

    def __init__(
        self, *, names: HeaderNames, clock: Clock, rng: random.Random, log: EventLog
    ) -> None:
        self._names = names
        self._clock = clock
        self._rng = rng
        self._log = log

    def read(self, target: Target, response: Response) -> None:
        """Read what a response says of the target that sent it.

        Parameters
        ----------
        target : Target
            Target that sent the response.
        response : Response
            Response to a request or a health check.
        """
        if not is_misdirected(response, self._names):
            self._read_leaving(target, response)
            self._read_silence(target, response)

    def _read_leaving(self, target: Target, response: Response) -> None:
        values = [find_header(response.headers, name) for name in self._names.leaving]
        if LEAVING in values and not target.stated.is_leaving:
            target.stated.is_leaving = True
            self._log.write("target_leaving", target=target.name)

    def _read_silence(self, target: Target, response: Response) -> None:
        value = find_header(response.headers, "retry-after")
        if response.status != UNAVAILABLE or value is None:
            return
        try:
            after_ms = 1000.0 * parse_amount(value)
        except InvalidValueError as error:
            self._log.write("silence_refused", target=target.name, reason=str(error))
            return
        if after_ms > MAX_SILENCE_MS:
            self._log.write("silence_shortened", target=target.name, after_ms=after_ms)
            after_ms = MAX_SILENCE_MS
        after_ms *= 1.0 + self._rng.uniform(0.0, JITTER_SHARE)
        until_ms = self._clock.read() + after_ms
        if until_ms > target.stated.silent_until_ms:
            target.stated.silent_until_ms = until_ms
            self._log.write(
                "target_silence", target=target.name, after_ms=round(after_ms)
            )
