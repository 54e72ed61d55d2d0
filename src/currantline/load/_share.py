"""Share right: which instance may probe a target without holding its lease.

The holder for a target is the instance that ranks first by rendezvous hashing among
those that the published list names as live. Copies of the list may be stale. The right
therefore begins only after an instance was first in every copy that it read for
``list_memory_ms``, and it ends when the latest copy was read at least half of that time
ago. Two instances hold the right at the same time only if a copy is stale by more than
the other half (30 s): the list that made one of them first was published at least
``list_memory_ms`` before its right began, and the other one last read an older list
less than half of that time ago.
"""

from collections.abc import Iterable, Set

from currantline.membership import MembershipOptions, rendezvous_score

__all__ = ["ShareRights"]


class ShareRights:
    """Share rights held by one instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    memory_ms : float, optional
        Time for which the instance must rank first, in milliseconds.
    """

    def __init__(self, name: str, *, memory_ms: float | None = None) -> None:
        options = MembershipOptions()
        self._name = name
        self._memory_ms = options.list_memory_ms if memory_ms is None else memory_ms
        self._names: frozenset[str] = frozenset()
        self._read_at = float("-inf")
        self._holders: dict[str, str] = {}
        self._since: dict[str, float] = {}

    def set_targets(self, targets: Iterable[str], now: float) -> None:
        """Apply the names of the targets in force.

        The waiting time starts now for an added target, because no earlier copy of the
        list was evaluated for it.
        """
        self._holders = {
            target: self._holders.get(target) or self._find_first(target, self._names)
            for target in targets
        }
        self._record_first(now)

    def set_listed(self, live: Iterable[str], now: float) -> None:
        """Apply a copy of the published list.

        Parameters
        ----------
        live : iterable of str
            Instances that the list names as live.
        now : float
            Time of reading in milliseconds of the clock.
        """
        if self._is_stale(now):
            self._since = {}
        self._read_at = now
        names = frozenset(live)
        if names != self._names:
            added = names - self._names
            self._names = names
            self._holders = {
                # While the holder is listed, only added names can rank before it.
                target: self._find_first(
                    target, {holder, *added} if holder in names else names
                )
                for target, holder in self._holders.items()
            }
        self._record_first(now)

    def reset(self) -> None:
        """Discard all rights, as after a pause: a copy read then may be stale."""
        self._since = {}
        self._read_at = float("-inf")

    def find_holder(self, target: str) -> str:
        """Return the instance that ranks first by the latest copy, or ''."""
        return self._holders.get(target, "")

    def list_held(self, now: float) -> list[str]:
        """Return the targets for which this instance holds the share right."""
        return [target for target in self._since if self.holds(target, now)]

    def holds(self, target: str, now: float) -> bool:
        """Return whether this instance holds the share right of a target."""
        since = self._since.get(target)
        if since is None or self._is_stale(now):
            return False
        return now - since >= self._memory_ms

    def _is_stale(self, now: float) -> bool:
        return now - self._read_at >= self._memory_ms / 2

    def _record_first(self, now: float) -> None:
        if not self._names:
            return
        self._since = {
            target: self._since.get(target, now)
            for target, holder in self._holders.items()
            if holder == self._name
        }

    def _find_first(self, target: str, names: Set[str]) -> str:
        if len(names) < 2:
            return next(iter(names), "")
        key = f"share\0{target}"
        return max(names, key=lambda name: (rendezvous_score(key, name), name))
