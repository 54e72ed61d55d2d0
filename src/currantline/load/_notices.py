"""Notices about targets, exchanged between instances."""

from collections.abc import Sequence

import attrs

from currantline.load._observation import TargetState
from currantline.validators import check_at_least

__all__ = ["NoticeSchedule", "TargetNotice"]

# Tags, lengths, state and age of one notice in protobuf, without the target name.
NOTICE_BYTES = 12
# With 4 exchanges per second, a quarter of the 4 KB/s budget for control traffic.
MAX_BYTES = 256
# Drains are repeated for longer than a peer can be unreachable undetected.
DRAIN_REPEAT_MS = 10_000.0


@attrs.frozen(kw_only=True)
class TargetNotice:
    """State of a target as observed locally by an instance.

    Parameters
    ----------
    target : str
        Name of the target.
    state : TargetState
        Observed state.
    age_ms : float
        Age of the observation when the notice was created. It is measured from
        sending the request, or from receiving the response if the target is
        draining. Both err on the safe side: a ready state never appears younger
        than it is, and a draining state never older.
    """

    target: str
    state: TargetState
    age_ms: float = attrs.field(validator=check_at_least(0))


class NoticeSchedule:
    """Selects the notices to send to peers within a size limit.

    Parameters
    ----------
    max_bytes : int
        Maximum size of the notices in one periodic message, in bytes.
    """

    def __init__(self, *, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._reported_drains: set[str] = set()
        self._last_rounds: dict[str, int] = {}
        self._round = 0

    def collect_new_drains(self, notices: Sequence[TargetNotice]) -> list[TargetNotice]:
        """Return notices of new drains, to be sent at once."""
        drains = {n.target: n for n in notices if n.state is TargetState.DRAINING}
        added = [drains[name] for name in sorted(drains.keys() - self._reported_drains)]
        self._reported_drains = set(drains)
        return added

    def pick(self, notices: Sequence[TargetNotice]) -> list[TargetNotice]:
        """Return notices for one periodic message.

        Recent drains come first, then the targets that were sent least recently.
        """
        self._round += 1
        useful = [n for n in notices if not _is_old_drain(n)]
        useful.sort(
            key=lambda n: (self._last_rounds.get(n.target, 0), not _is_drain(n))
        )
        picked: list[TargetNotice] = []
        remaining = self._max_bytes
        for notice in sorted(useful, key=lambda n: not _is_drain(n)):
            remaining -= NOTICE_BYTES + len(notice.target.encode())
            if remaining < 0:
                break
            picked.append(notice)
        self._last_rounds = {
            n.target: self._round if n in picked else self._last_rounds.get(n.target, 0)
            for n in useful
        }
        return picked


def _is_drain(notice: TargetNotice) -> bool:
    return notice.state is TargetState.DRAINING


def _is_old_drain(notice: TargetNotice) -> bool:
    return _is_drain(notice) and notice.age_ms > DRAIN_REPEAT_MS
