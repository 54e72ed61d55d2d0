"""Task that watches the platform's configuration service."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import attrs
from eliot import log_message

from currantline.clock import Clock
from currantline.configuration._record import Record, read_record
from currantline.exceptions import PlatformError, RecordError, WireError
from currantline.membership import View, rank
from currantline.wire import Request, fetch

__all__ = [
    "HttpRecordService",
    "ReaderCounts",
    "ReaderOptions",
    "RecordReader",
    "RecordService",
    "select_readers",
]


class RecordService(Protocol):
    """Service that publishes records."""

    async def read_records(self, after: int, wait_ms: float) -> Sequence[Any]:
        """Return the records after a sequence; wait for one if there is none yet.

        Raises
        ------
        PlatformError
            If the service returns no usable response.
        """
        ...


@attrs.frozen(kw_only=True)
class HttpRecordService:
    """The platform's configuration service over HTTP.

    Parameters
    ----------
    address : str
        IP address and port.
    margin_ms : float
        Time in ms allowed for a response in addition to the wait.
    """

    address: str
    margin_ms: float = 1000.0

    async def read_records(self, after: int, wait_ms: float) -> Sequence[Any]:
        """Return the records after a sequence; wait for one if there is none yet.

        Raises
        ------
        PlatformError
            If the service returns no usable response.
        """
        path = f"/v1/records?after={after}&wait_ms={wait_ms:.0f}"
        request = Request(method="GET", target=path)
        timeout_ms = wait_ms + self.margin_ms
        try:
            response = await fetch(self.address, request, timeout_ms=timeout_ms)
        except WireError as error:
            raise PlatformError(str(error)) from error
        if response.status != 200:
            raise PlatformError(f"{path} returned status {response.status}")
        try:
            records = json.loads(response.body)["records"]
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise PlatformError(f"{path} returned no records") from error
        if not isinstance(records, list):
            raise PlatformError(f"{path} returned no list of records")
        return records


@attrs.frozen(kw_only=True)
class ReaderOptions:
    """Options of a reader.

    Parameters
    ----------
    wait_ms : float
        Maximum time in ms that the service may wait for a record. A connection that
        becomes unresponsive delays reading by this time and the margin, which
        together are below the 7 s within which a patch has to be in force.
    min_backoff_ms, max_backoff_ms : float
        Minimum and maximum backoff in ms after a failure, before jitter.
    check_interval : int
        Number of reads between two checks for a shorter log.
    """

    wait_ms: float = 3000.0
    min_backoff_ms: float = 100.0
    max_backoff_ms: float = 2000.0
    check_interval: int = 10


@attrs.define(kw_only=True)
class ReaderCounts:
    """Reads by outcome.

    Parameters
    ----------
    reads : int
        Reads that were started.
    failed : int
        Reads without a usable response.
    stale : int
        Reads whose response was older than the known records.
    stalled : int
        Reads whose response contained records but led to no progress, or contained
        none and arrived before half of the wait was over.
    """

    reads: int = 0
    failed: int = 0
    stale: int = 0
    stalled: int = 0


def select_readers(view: View, data_centre: str, count: int) -> tuple[str, ...]:
    """Return the instances of a data centre that read the configuration service.

    Parameters
    ----------
    view : View
        Live instances.
    data_centre : str
        Data centre of the readers.
    count : int
        Number of readers in each data centre.
    """
    names = [e.name for e in view.instances if e.data_centre == data_centre]
    return tuple(rank("configuration", names)[:count])


def compute_backoff(failures: int, options: ReaderOptions, rng: random.Random) -> float:
    """Return the backoff in ms after a number of consecutive failures.

    Jitter of up to half the backoff keeps readers from reconnecting all at once when
    the service recovers.
    """
    # The exponent is bounded because the power is computed before the maximum applies.
    delay_ms = options.min_backoff_ms * 2.0 ** min(failures - 1, 30)
    return min(delay_ms, options.max_backoff_ms) * rng.uniform(0.5, 1.0)


async def _sleep(duration_ms: float) -> None:
    await asyncio.sleep(duration_ms / 1000)


class RecordReader:
    """Watches the configuration service while reading is enabled.

    Parameters
    ----------
    service : RecordService
        Service that publishes records.
    read_sequence : callable
        Returns the sequence of the last known record.
    on_records : callable
        Called with new records in order of their sequence.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    options : ReaderOptions
        Time limits and intervals.
    sleep : callable
        Sleeps for a number of ms.

    Attributes
    ----------
    counts : ReaderCounts
        Reads by outcome.
    """

    def __init__(
        self,
        service: RecordService,
        *,
        read_sequence: Callable[[], int],
        on_records: Callable[[list[Record]], None],
        clock: Clock,
        rng: random.Random,
        options: ReaderOptions | None = None,
        sleep: Callable[[float], Awaitable[None]] = _sleep,
    ) -> None:
        self.counts = ReaderCounts()
        self._service = service
        self._read_sequence = read_sequence
        self._on_records = on_records
        self._clock = clock
        self._rng = rng
        self._options = options or ReaderOptions()
        self._sleep = sleep
        self._task: asyncio.Task[None] | None = None

    def set_reading(self, is_reader: bool) -> None:
        """Start or stop reading; a read in flight is cancelled."""
        if is_reader and (self._task is None or self._task.done()):
            self._task = asyncio.create_task(self._watch())
        elif not is_reader and self._task is not None:
            self._task.cancel()
            self._task = None

    async def stop(self) -> None:
        """Stop reading and wait until the read in flight has ended."""
        task = self._task
        self.set_reading(False)
        if task is not None:
            await asyncio.gather(task, return_exceptions=True)

    async def _watch(self) -> None:
        failures = 0
        reads_until_check = 0
        while True:
            is_check = reads_until_check == 0
            try:
                has_succeeded = await (
                    self._check_last_record() if is_check else self._read()
                )
            except PlatformError as error:
                self.counts.failed += 1
                log_message("currantline:reader", error=str(error))
                has_succeeded = False
            if has_succeeded:
                # A check does not show whether reads make progress.
                failures = failures if is_check else 0
                interval = self._options.check_interval
                reads_until_check = interval if is_check else reads_until_check - 1
                continue
            failures += 1
            # The service may have been replaced by one that lags behind.
            reads_until_check = 0
            await self._sleep(compute_backoff(failures, self._options, self._rng))

    async def _check_last_record(self) -> bool:
        """Return whether the service has the last known record."""
        known = self._read_sequence()
        if known == 0:
            return True
        self.counts.reads += 1
        documents = await self._service.read_records(known - 1, 0.0)
        records = _select_records(documents, known - 1)
        if not records or records[0].sequence != known:
            self.counts.stale += 1
            return False
        return True

    async def _read(self) -> bool:
        """Read once and return whether the next read needs no backoff."""
        known = self._read_sequence()
        started_at = self._clock.read()
        self.counts.reads += 1
        documents = await self._service.read_records(known, self._options.wait_ms)
        if not documents:
            # Without backoff, a service that responds at once without records would be
            # read in a busy loop.
            has_returned_early = (
                self._clock.read() - started_at < self._options.wait_ms / 2
            )
            self.counts.stalled += has_returned_early
            return not has_returned_early
        records = _select_records(documents, known)
        if not records:
            self.counts.stale += 1
            return False
        self._on_records(records)
        has_progressed = self._read_sequence() > known
        self.counts.stalled += not has_progressed
        return has_progressed


def _select_records(documents: Sequence[Any], after: int) -> list[Record]:
    """Return the records of a response after a sequence, in order."""
    try:
        records = [read_record(document) for document in documents]
    except RecordError as error:
        raise PlatformError(str(error)) from error
    newer = [record for record in records if record.sequence > after]
    return sorted(newer, key=lambda record: record.sequence)
