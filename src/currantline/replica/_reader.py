"""Reads and watches the platform on behalf of the instances of a data centre."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from currantline.clock import Clock
from currantline.exceptions import (
    HistoryLostError,
    PlatformError,
    StoreReturnedError,
)
from currantline.replica._record import Record
from currantline.replica._replica import Replica
from currantline.telemetry import EventLog

__all__ = ["PlatformReader", "RecordBatch"]

# Maximum duration of one watch. Each call is billed, which favours long watches; a
# silently broken connection is detected only after this time.
WATCH_TIMEOUT_MS = 4_000

# Range of the duration for instances that must detect unanswered watches quickly.
# Together with the allowed delay of a response and the change of readers, this leaves
# 500 ms of the 2 s within which a change must be in force.
SHORT_WATCH_TIMEOUT_MS = (500, 1_000)

# Delay after a watch that returned changes, so that changes in quick succession are
# read together. A tenth of the 2 s within which a change must be in force.
BATCH_DELAY_MS = 200.0

# Poll interval while another instance reads or no removal is due.
POLL_INTERVAL_MS = 50.0

# Time after which an instance with an empty replica reads for itself; a neighbour that
# reads would have notified it by then.
BOOTSTRAP_WAIT_MS = 400.0

# Pause after a failed call. Doubles with each further failure, up to a maximum that
# follows from the time within which the platform must be read again after an outage.
INITIAL_BACKOFF_MS = 1_000.0
MIN_BACKOFF_MS = 250.0

# The part of the pause that is not drawn at random. All instances lose the platform at
# the same moment and must not return to it in step.
FIXED_BACKOFF_SHARE = 0.5

# Time after which a call has failed while the platform is down.
MAX_CALL_MS = 1_000.0

# Time for the change of readers, and for a change to reach all instances.
DISSEMINATION_MS = 700.0

# Records that expired during an outage of the platform, or that it lost by returning
# from an older copy, are published again within 2 s of its recovery.
RECOVERY_GRACE_MS = 2_100.0


class RecordBatch(Protocol):
    """Records, complete up to a revision."""

    @property
    def records(self) -> Sequence[Record]:
        """Published or changed records."""
        ...

    @property
    def revision(self) -> int:
        """Revision up to which the records are complete."""
        ...


class Platform(Protocol):
    """Interface to the platform that the reader requires."""

    async def read_all(self) -> RecordBatch:
        """Return all published records."""
        ...

    async def watch(self, after: int, *, wait_ms: int) -> RecordBatch:
        """Wait for changes after a revision."""
        ...

    def find_era(self, revision: int) -> int:
        """Return the era of a revision."""
        ...

    def describe_revision(self, revision: int) -> dict[str, int]:
        """Return a revision as fields of a log line."""
        ...


class PlatformReader:
    """Keeps a replica up to date while this instance is a reader.

    Parameters
    ----------
    platform : Platform
        Platform to read from.
    replica : Replica
        Replica to update.
    is_reader : callable
        Returns whether this instance is a reader.
    uses_short_watches : callable
        Returns whether this instance must detect unanswered watches quickly.
    on_change : callable
        Called with the records that changed; the sequence may be empty.
    recovery_ms : float
        Time in milliseconds after an outage of the platform by which all instances
        must follow its changes again.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws the durations of short watches, so that those of several instances do
        not end at the same time.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        platform: Platform,
        replica: Replica,
        *,
        is_reader: Callable[[], bool],
        uses_short_watches: Callable[[], bool],
        on_change: Callable[[Sequence[Record]], None],
        recovery_ms: float,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self._platform = platform
        self._replica = replica
        self._is_reader = is_reader
        self._uses_short_watches = uses_short_watches
        self._on_change = on_change
        self._max_backoff_ms = max(
            MIN_BACKOFF_MS, recovery_ms - MAX_CALL_MS - DISSEMINATION_MS
        )
        self._clock = clock
        self._rng = rng
        self._log = log
        self._started_ms = clock.read()
        self._needs_full_read = False
        self._returned_revision = 0
        self._failures = 0
        self._backoff_until_ms = 0.0
        self._is_platform_down = False
        self._grace_until_ms = 0.0

    @property
    def can_reach_platform(self) -> bool:
        """Whether the last call to the platform did not fail."""
        return not self._is_platform_down

    def find_grace_deadline(self) -> float | None:
        """Return the time until which removals are deferred, None if they are not.

        Records that expired during an outage of the platform, or that it lost by
        returning from an older copy, are published again soon after its return.
        """
        now = self._clock.read()
        if self._is_platform_down:
            return now + RECOVERY_GRACE_MS
        return self._grace_until_ms if now < self._grace_until_ms else None

    def observe_revision(self, revision: int) -> None:
        """Note the revision of records that are about to be applied to the replica.

        If they are the first of an era, removals are deferred from now on.
        """
        if not self._replica.revision or not self._replica.begins_era(revision):
            return
        self._grace_until_ms = self._clock.read() + RECOVERY_GRACE_MS
        self._log.write(
            "store_returned",
            era=self._platform.find_era(revision),
            previous=self._platform.find_era(self._replica.read_revision),
        )

    async def run_deferred_removals(self) -> None:
        """Remove records that are still missing after an outage, until cancelled."""
        while True:
            self._on_change(self._replica.apply_due_removals(self._clock.read()))
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def run(self) -> None:
        """Read and watch the platform until cancelled."""
        while True:
            if not self._should_read():
                await asyncio.sleep(POLL_INTERVAL_MS / 1000)
                continue
            try:
                has_changes = await self._read()
            except PlatformError as error:
                self._handle_error(error)
            else:
                self._handle_success()
                # An empty store at its first revision offers no watch.
                if has_changes or self._replica.is_unread:
                    await asyncio.sleep(BATCH_DELAY_MS / 1000)

    def _handle_error(self, error: PlatformError) -> None:
        if isinstance(error, StoreReturnedError):
            # If another instance has read the era, its changes can be watched.
            self._needs_full_read |= self._replica.begins_era(error.revision)
            # Without a pause, but only once for each era.
            if error.revision > self._returned_revision:
                self._returned_revision = error.revision
                return
        # A full read follows immediately, unless the full read itself failed.
        if isinstance(error, HistoryLostError) and not self._needs_full_read:
            self._log.write("history_lost", reason=str(error))
            self._needs_full_read = True
        else:
            self._handle_failure(error)

    def _should_read(self) -> bool:
        if self._is_platform_down:
            # Each instance finds out by itself when it can read for others again.
            return self._clock.read() >= self._backoff_until_ms
        is_isolated = not self._replica.revision and (
            self._clock.read() - self._started_ms >= BOOTSTRAP_WAIT_MS
        )
        return is_isolated or self._is_reader()

    async def _read(self) -> bool:
        if self._needs_full_read or self._replica.is_unread:
            batch = await self._platform.read_all()
            self._check_era(batch)
            self._needs_full_read = False
            apply: Callable[..., list[Record]] = self._replica.replace
        else:
            after, wait_ms = self._replica.read_revision, self._choose_watch_timeout()
            batch = await self._platform.watch(after, wait_ms=wait_ms)
            self._check_era(batch)
            apply = self._replica.merge
        self._start_grace_period()
        self.observe_revision(batch.revision)
        deadline_ms = self.find_grace_deadline()
        changed = apply(batch.records, batch.revision, defer_removals_until=deadline_ms)
        self._on_change(changed)
        return bool(changed)

    def _check_era(self, batch: RecordBatch) -> None:
        # Another instance may have passed on a later era during the call.
        if self._replica.is_of_earlier_era(batch.revision):
            era = self._platform.find_era(batch.revision)
            raise PlatformError(f"the answer is of era {era}, which has ended")

    def _choose_watch_timeout(self) -> int:
        if self._is_platform_down:
            return SHORT_WATCH_TIMEOUT_MS[0]
        if self._uses_short_watches():
            return self._rng.randint(*SHORT_WATCH_TIMEOUT_MS)
        return WATCH_TIMEOUT_MS

    def _start_grace_period(self) -> None:
        if self._is_platform_down:
            self._grace_until_ms = self._clock.read() + RECOVERY_GRACE_MS

    def _handle_success(self) -> None:
        if self._is_platform_down:
            revision = self._platform.describe_revision(self._replica.revision)
            self._log.write("platform_regained", **revision)
        self._is_platform_down = False
        self._failures = 0

    def _handle_failure(self, error: PlatformError) -> None:
        revision = self._platform.describe_revision(self._replica.revision)
        self._log.write("platform_lost", reason=str(error), **revision)
        self._is_platform_down = True
        self._backoff_until_ms = self._clock.read() + self._choose_backoff()
        self._failures += 1

    def _choose_backoff(self) -> float:
        # The exponent is bounded because the power is computed before the maximum.
        backoff_ms = INITIAL_BACKOFF_MS * 2.0 ** min(self._failures, 30)
        jitter = self._rng.uniform(FIXED_BACKOFF_SHARE, 1.0)
        return min(self._max_backoff_ms, backoff_ms) * jitter
