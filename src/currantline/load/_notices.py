"""What instances tell each other about targets."""

from collections.abc import Sequence

import attrs

from currantline.load._observation import TargetState
from currantline.validators import check_at_least

__all__ = ["NoticeSchedule", "TargetNotice"]

# Tags, lengths, state and age of one notice in protobuf, without the name.
NOTICE_BYTES = 12
# At 4 exchanges a second this is a quarter of the 4 KB/s for control work.
MAX_BYTES = 256
# A drain is repeated for longer than a peer may be out of reach unnoticed.
DRAIN_REPEAT_MS = 10_000.0


@attrs.frozen(kw_only=True)
class TargetNotice:
    """What an instance observed itself about a target.

    Parameters
    ----------
    target : str
        Name of the target.
    state : TargetState
        State that was observed.
    age_ms : float
        Age of the observation when the notice was made. It counts from sending
        the request; for draining it counts from receiving the answer. Each is the
        careful side: ready never looks younger, draining never older than it is.
    """

    target: str
    state: TargetState
    age_ms: float = attrs.field(validator=check_at_least(0))


class NoticeSchedule:
    """Chooses notices for peers within a number of bytes.

    Parameters
    ----------
    max_bytes : int
        Bytes of the notices in one periodic message.
    """

    def __init__(self, *, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._reported_drains: set[str] = set()
        self._last_rounds: dict[str, int] = {}
        self._round = 0

    def collect_new_drains(self, notices: Sequence[TargetNotice]) -> list[TargetNotice]:
        """Return drains that were not returned before, to be sent at once."""
        drains = {n.target: n for n in notices if n.state is TargetState.DRAINING}
        added = [drains[name] for name in sorted(drains.keys() - self._reported_drains)]
        self._reported_drains = set(drains)
        return added

    def pick(self, notices: Sequence[TargetNotice]) -> list[TargetNotice]:
        """Return notices for one periodic message.

        Recent drains come first, then the targets told least recently.
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
