"""Drains that this instance found, told to the others at once."""

from collections.abc import Callable, Iterable

from currantline.clock import Clock
from currantline.load import NoticeSchedule, TargetBook, TargetNotice

__all__ = ["DrainNotifier"]


class DrainNotifier:
    """Tells other instances of targets that drain.

    Parameters
    ----------
    book : TargetBook
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
        """Send drains that were not sent before."""
        # Runs after every attempt, and most attempts change no drain.
        if self._book.drain_changes == self._sent_changes:
            return
        self._sent_changes = self._book.drain_changes
        drains = self._schedule.take_drains(self._book.drains(self._clock.read()))
        for peer in self._list_peers() if drains else ():
            self._send(peer, drains)
