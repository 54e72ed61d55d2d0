"""Probe order and timeouts.

An instance that does not acknowledge a ping is probed once more through others, since
the path between two instances may fail while both are alive.
"""

import random
from collections.abc import Collection

import attrs

from currantline.fleet._member import Member

__all__ = ["ProbeTracker", "TimedOutProbe"]

# Covers 3 ms of latency between data centres and the 100 ms for which an instance may
# be prevented from running.
ACK_TIMEOUT_MS = 125.0

# Time for the acknowledgement of an indirect probe.
INDIRECT_ACK_TIMEOUT_MS = 250.0


@attrs.frozen
class TimedOutProbe:
    """Ping that was not acknowledged in time.

    Parameters
    ----------
    sequence_number : int
        Sequence number of the ping.
    member : Member
        State of the pinged instance at the time of the ping.
    is_indirect : bool
        Whether the indirect probe has timed out as well.
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
    """Tracks pings in flight and chooses the next instance to ping.

    Parameters
    ----------
    rng : random.Random
        Shuffles the probe order.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[str] = []
        self._pending: dict[int, _PendingProbe] = {}
        self._last_sequence_number = 0

    def choose_next(self, members: Collection[Member]) -> Member | None:
        """Return the next instance to ping, in shuffled round-robin order."""
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
        """Return the sequence number for a ping that is not tracked."""
        self._last_sequence_number += 1
        return self._last_sequence_number

    def begin(self, member: Member, now: float) -> int:
        """Start tracking a ping and return its sequence number."""
        sequence_number = self.next_sequence_number()
        self._pending[sequence_number] = _PendingProbe(member, now + ACK_TIMEOUT_MS)
        return sequence_number

    def acknowledge(self, sequence_number: int) -> None:
        """Stop tracking an acknowledged ping."""
        self._pending.pop(sequence_number, None)

    def take_timed_out(self, now: float) -> list[TimedOutProbe]:
        """Return the pings that have timed out.

        A ping is returned at most twice: when the direct probe times out, and when the
        indirect probe times out too.
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
