"""Which instance is probed next, and what follows when it does not answer.

An instance that misses a ping is pinged once more by others, since the way between
two instances may be cut while both live.
"""

import random
from collections.abc import Collection

import attrs

from currantline.fleet._member import Member

__all__ = ["ProbeTracker", "TimedOutProbe"]

# Time for an answer in milliseconds: a way between data centres of 3 ms, and the
# tenth of a second for which an instance may be kept from running.
ACK_TIMEOUT_MS = 125.0

# Time for the answer to the pings of others, in milliseconds.
INDIRECT_ACK_TIMEOUT_MS = 250.0


@attrs.frozen
class TimedOutProbe:
    """A ping that was not answered in time.

    Parameters
    ----------
    sequence_number : int
        Its number.
    member : Member
        The instance that was pinged, as it was known then.
    is_indirect : bool
        Whether others have pinged it as well.
    """

    sequence_number: int
    member: Member
    is_indirect: bool


@attrs.define
class _PendingProbe:
    member: Member
    deadline_ms: float
    is_indirect: bool = False


class ProbeTracker:
    """Pings in flight and the order of the next ones.

    Parameters
    ----------
    rng : random.Random
        Draws the order.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[str] = []
        self._pending: dict[int, _PendingProbe] = {}
        self._last_sequence_number = 0

    def choose_next(self, members: Collection[Member]) -> Member | None:
        """Return the next instance to ping; each comes once before one comes again."""
        by_host = {member.host: member for member in members}
        while by_host:
            if not self._order:
                self._order = list(by_host)
                self._rng.shuffle(self._order)
            member = by_host.get(self._order.pop())
            if member is not None:
                return member
        return None

    def next_sequence_number(self) -> int:
        """Return the number of a ping whose answer is not waited for."""
        self._last_sequence_number += 1
        return self._last_sequence_number

    def begin(self, member: Member, now: float) -> int:
        """Note a ping and return its number."""
        sequence_number = self.next_sequence_number()
        self._pending[sequence_number] = _PendingProbe(member, now + ACK_TIMEOUT_MS)
        return sequence_number

    def acknowledge(self, sequence_number: int) -> None:
        """Note an answer."""
        self._pending.pop(sequence_number, None)

    def take_timed_out(self, now: float) -> list[TimedOutProbe]:
        """Return the pings whose time is over.

        A ping is returned at most twice: to be relayed, and when that failed too.
        """
        timed_out = []
        for sequence_number, probe in list(self._pending.items()):
            if now < probe.deadline_ms:
                continue
            timed_out.append(
                TimedOutProbe(sequence_number, probe.member, probe.is_indirect)
            )
            if probe.is_indirect:
                del self._pending[sequence_number]
            else:
                probe.is_indirect = True
                probe.deadline_ms = now + INDIRECT_ACK_TIMEOUT_MS
        return timed_out
