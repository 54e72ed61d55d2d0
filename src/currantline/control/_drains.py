"""Notifies peers at once of drains that the local instance has observed."""

from collections.abc import Callable, Iterable

from currantline.clock import Clock
from currantline.load import NoticeSchedule, TargetNotice, TargetTracker

__all__ = ["DrainNotifier"]


class DrainNotifier:
    """Notifies peers of draining targets.

    Parameters
    ----------
    target_tracker : TargetTracker
        Evidence about targets.
    clock : Clock
        Source of time.
    list_peers : callable
        Returns the names of the live peers.
    send : callable
        Takes the name of a peer and the notices for it.
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
        self._sent_changes = 0

    def notify(self) -> None:
        """Send the drains that have not been sent yet."""
        # This runs after every attempt, and few attempts change a drain.
        if self._target_tracker.drain_changes == self._sent_changes:
            return
        self._sent_changes = self._target_tracker.drain_changes
        drains = self._schedule.collect_new_drains(
            self._target_tracker.drain_notices(self._clock.read())
        )
        for peer in self._list_peers() if drains else ():
            self._send(peer, drains)
