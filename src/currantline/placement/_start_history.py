"""Highest known sequence of each start of a target, also of removed ones."""

import attrs

from currantline.placement._target import PublishedTarget

__all__ = ["StartHistory"]

# Maximum number of starts that are kept. A fleet has some hundred targets, so this
# covers all starts within the seconds that a copy of the platform is old.
MAX_STARTS = 4_096


@attrs.define
class _Start:
    era: int
    sequence: int | None
    is_draining: bool


class StartHistory:
    """Tells entries that are written again from those of an older copy.

    A platform that returns from a copy publishes entries that are out of date, with
    revisions above all earlier ones. A start of a target numbers its entries, so within
    a start an entry of a later era is old if its number is not above the highest one
    known. Within an era, the revisions decide.
    """

    def __init__(self) -> None:
        self._starts: dict[tuple[str, int, str], _Start] = {}

    def is_old(self, entry: PublishedTarget, era: int) -> bool:
        """Return whether an entry is from an older copy; if not, it is noted.

        Parameters
        ----------
        entry : PublishedTarget
            Entry of a target.
        era : int
            Era in which it was read.
        """
        key = (entry.name, entry.started_unix_ms, entry.address)
        known = self._starts.pop(key, None)
        if known is not None and self._is_older(entry, era, known):
            self._starts[key] = known
            return True
        known_sequence = known.sequence if known is not None else None
        sequences = [s for s in (known_sequence, entry.sequence) if s is not None]
        # The start that was published last comes last.
        self._starts[key] = _Start(era, max(sequences, default=None), entry.is_draining)
        if len(self._starts) > MAX_STARTS:
            del self._starts[next(iter(self._starts))]
        return False

    def _is_older(self, entry: PublishedTarget, era: int, known: _Start) -> bool:
        if era <= known.era or entry.sequence is None or known.sequence is None:
            return False
        if entry.sequence == known.sequence:
            # A copy has the same entry under the same number, so a drain that was not
            # known under it has been written since.
            return known.is_draining or not entry.is_draining
        return entry.sequence < known.sequence
