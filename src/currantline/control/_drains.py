"""Notifies peers at once of drains that the local instance has observed."""

from collections.abc import Callable, Iterable

from currantline.clock import Clock
from currantline.load import NoticeSchedule, TargetBook, TargetNotice

__all__ = ["DrainNotifier"]


class DrainNotifier:
    """Notifies peers of draining targets.

    Parameters
    ----------
    book : TargetBook
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
        book: TargetBook,
        *,
        clock: Clock,
        list_peers: Callable[[], Iterable[str]],
        send: Callable[[str, list[TargetNotice]], None],
    ) -> None:
        self._book = book
        self._clock = clock
        self._list_peers = list_peers
        self._send = send
        self._schedule = NoticeSchedule()
        self._sent_changes = 0

    def notify(self) -> None:
        """Send the drains that have not been sent yet."""
        # This runs after every attempt, and few attempts change a drain.
        if self._book.drain_changes == self._sent_changes:
            return
        self._sent_changes = self._book.drain_changes
        drains = self._schedule.take_drains(self._book.drains(self._clock.read()))
        for peer in self._list_peers() if drains else ():
            self._send(peer, drains)
