"""Reads and watches the platform for this instance and its neighbours."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from currantline.clock import Clock
from currantline.exceptions import HistoryLostError, PlatformError
from currantline.replica._record import Record
from currantline.replica._replica import Replica
from currantline.telemetry import EventLog

__all__ = ["Publication", "PublicationReader"]

# Longest time that one watch waits, in milliseconds. Each call has a price; a watch
# that was cut without notice is found after this time.
WATCH_MS = 4_000

# Bounds of the same for the instance that must notice at once that watches are not
# answered; with the time by which an answer may be late, and the change of readers,
# half a second is left of the 2 s in which a change must be in force.
LOOKOUT_WATCH_MS = (500, 1_000)

# Pause after a watch that brought changes, in milliseconds, so that changes in quick
# succession come together. A tenth of the time in which a change must be in force.
BATCH_MS = 200.0

# Pause while another instance reads or nothing is due, in milliseconds.
IDLE_MS = 50.0

# An instance that knows nothing reads for itself after this time in milliseconds, in
# which a neighbour that reads would have told it.
ALONE_MS = 400.0

# Time in milliseconds for which an instance that the platform does not answer leaves
# the reading to others; doubles up to the second figure.
FIRST_HOLD_MS = 1_000.0
LAST_HOLD_MS = 6_000.0

# Records that lapsed while the platform was away are back within 2 s of its return.
RETURN_MS = 2_100.0


class Publication(Protocol):
    """Records and the revision up to which they are complete."""

    @property
    def records(self) -> Sequence[Record]:
        """The records."""
        ...

    @property
    def revision(self) -> int:
        """The revision."""
        ...


class Platform(Protocol):
    """What the reader needs of the platform."""

    async def read_all(self) -> Publication:
        """Return everything that is published."""
        ...

    async def watch(self, after: int, *, wait_ms: int) -> Publication:
        """Wait for changes after a revision."""
        ...


class PublicationReader:
    """Keeps a replica current while this instance is the one to read.

    Parameters
    ----------
    platform : Platform
        The platform.
    replica : Replica
        What is known.
    is_reader : callable
        Returns whether this instance should read.
    is_lookout : callable
        Returns whether it must notice at once that a watch is not answered.
    publish : callable
        Takes the records that changed.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws the times of short watches, so that those of several instances do not
        end together.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        platform: Platform,
        replica: Replica,
        *,
        is_reader: Callable[[], bool],
        is_lookout: Callable[[], bool],
        publish: Callable[[Sequence[Record]], None],
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self._platform = platform
        self._replica = replica
        self._is_reader = is_reader
        self._is_lookout = is_lookout
        self._publish = publish
        self._clock = clock
        self._rng = rng
        self._log = log
        self._started_ms = clock.read()
        self._needs_all = False
        self._hold_ms = FIRST_HOLD_MS
        self._held_until_ms = 0.0
        self._is_away = False
        self._kept_until_ms = 0.0

    @property
    def can_read(self) -> bool:
        """Whether the platform answered lately, as far as is known."""
        return self._clock.read() >= self._held_until_ms

    async def drop_lapsed(self) -> None:
        """Give up records that stay missing after an outage, until cancelled."""
        while True:
            self._publish(self._replica.drop_missing(self._clock.read()))
            await asyncio.sleep(IDLE_MS / 1000)

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self._should_read():
                await asyncio.sleep(IDLE_MS / 1000)
                continue
            try:
                has_changes = await self._read()
            except PlatformError as error:
                self._note_error(error)
            else:
                self._note_success()
                if has_changes:
                    await asyncio.sleep(BATCH_MS / 1000)

    def _note_error(self, error: PlatformError) -> None:
        # A complete reading follows at once, unless it is what failed.
        if isinstance(error, HistoryLostError) and not self._needs_all:
            self._log.write("history_lost", reason=str(error))
            self._needs_all = True
        else:
            self._note_failure(error)

    def _should_read(self) -> bool:
        if not self.can_read:
            return False
        is_lost = not self._replica.revision and (
            self._clock.read() - self._started_ms >= ALONE_MS
        )
        return is_lost or self._is_reader()

    async def _read(self) -> bool:
        if self._needs_all or not self._replica.revision:
            reading = await self._platform.read_all()
            self._note_return()
            changed = self._replica.replace(
                reading.records, reading.revision, missing_until=self._find_keep()
            )
            self._needs_all = False
        else:
            reading = await self._platform.watch(
                self._replica.revision, wait_ms=self._choose_wait()
            )
            self._note_return()
            changed = self._merge(reading)
        self._publish(changed)
        return bool(changed)

    def _choose_wait(self) -> int:
        if self._is_lookout():
            return self._rng.randint(*LOOKOUT_WATCH_MS)
        return WATCH_MS

    def _merge(self, reading: Publication) -> list[Record]:
        keep_ms = self._find_keep()
        records = list(reading.records)
        if keep_ms is not None:
            self._replica.hold([r for r in records if r.is_removed], keep_ms)
            records = [r for r in records if not r.is_removed]
        return self._replica.merge(records, reading.revision)

    def _find_keep(self) -> float | None:
        is_fresh = self._clock.read() < self._kept_until_ms
        return self._kept_until_ms if is_fresh else None

    def _note_return(self) -> None:
        if self._is_away:
            self._kept_until_ms = self._clock.read() + RETURN_MS

    def _note_success(self) -> None:
        if self._is_away:
            self._log.write("platform_regained", revision=self._replica.revision)
        self._is_away = False
        self._hold_ms = FIRST_HOLD_MS

    def _note_failure(self, error: PlatformError) -> None:
        self._log.write(
            "platform_lost", reason=str(error), revision=self._replica.revision
        )
        self._is_away = True
        self._held_until_ms = self._clock.read() + self._hold_ms
        self._hold_ms = min(LAST_HOLD_MS, 2 * self._hold_ms)
