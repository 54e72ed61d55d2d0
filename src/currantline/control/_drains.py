"""Drains that this instance found, told to the others at once."""

from collections.abc import Callable, Iterable

from currantline.clock import Clock
from currantline.load import NoticeSchedule, TargetNotice, TargetTracker

__all__ = ["DrainTeller"]


class DrainTeller:
    """Tells other instances of targets that drain.

    Parameters
    ----------
    target_tracker : TargetTracker
        What is known of targets.
    clock : Clock
        Source of time.
    list_peers : callable
        Returns the names of the other live instances.
    send : callable
        Takes the name of an instance and notices.
    """

    def __init__(
        self,
        target_tracker: TargetTracker,
        *,
        clock: Clock,
        list_peers: Callable[[], Iterable[str]],
        send: Callable[[str, list[TargetNotice]], None],
    ) -> None:
        self._target_tracker = target_tracker
        self._clock = clock
        self._list_peers = list_peers
        self._send = send
        self._schedule = NoticeSchedule()
        self._told_changes = 0

    def tell(self) -> None:
        """Send drains that were not sent before."""
        # Runs after every attempt, and most attempts change no drain.
        if self._target_tracker.drain_changes == self._told_changes:
            return
        self._told_changes = self._target_tracker.drain_changes
        drains = self._schedule.collect_new_drains(
            self._target_tracker.drain_notices(self._clock.read())
        )
        for peer in self._list_peers() if drains else ():
            self._send(peer, drains)
