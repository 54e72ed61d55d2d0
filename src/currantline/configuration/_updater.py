"""Judging of records as they arrive, and the spread between instances."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable, Sequence

from eliot import log_message

from currantline.clock import Clock
from currantline.configuration._history import EvaluatedRecord, History
from currantline.configuration._model import Configuration
from currantline.configuration._record import Record, read_record, render_record
from currantline.exceptions import PeerError, RecordError, WireError

__all__ = ["ConfigurationUpdater", "RecordFetcher", "decode_records", "encode_record"]

# A record that a reader has found is asked for within one interval.
FETCH_INTERVAL_MS = 200.0


def encode_record(record: Record) -> bytes:
    """Return a record as JSON bytes for another instance."""
    return json.dumps(render_record(record), separators=(",", ":")).encode()


def decode_records(documents: Iterable[bytes]) -> list[Record]:
    """Return the records of another instance.

    Raises
    ------
    RecordError
        If one of them is not a record.
    """
    try:
        return [read_record(json.loads(document)) for document in documents]
    except (ValueError, RecursionError) as error:
        raise RecordError("a record of another instance is not JSON") from error


class ConfigurationUpdater:
    """Applies records to the history and tells what changed.

    Parameters
    ----------
    history : History
        State in force.
    clock : Clock
        Source of time.
    on_judged : callable
        Receives each verdict.
    on_change : callable
        Receives the configuration in force after each change of it.
    on_progress : callable
        Called after the sequence has risen.
    """

    def __init__(
        self,
        history: History,
        *,
        clock: Clock,
        on_verdict: Callable[[EvaluatedRecord], None],
        on_change: Callable[[Configuration], None],
        on_progress: Callable[[], None],
    ) -> None:
        self.history = history
        self._clock = clock
        self._on_verdict = on_verdict
        self._on_change = on_change
        self._on_progress = on_progress

    @property
    def sequence(self) -> int:
        """Sequence of the last record judged."""
        return self.history.state.sequence

    def apply_published(self, records: Sequence[Record]) -> None:
        """Apply records of the configuration service, in order."""
        self._apply(self.history.apply_published, records)

    def catch_up(self, records: Sequence[Record]) -> None:
        """Apply records of another instance, in order."""
        self._apply(self.history.catch_up, records)

    def _apply(
        self,
        apply: Callable[[Iterable[Record], float], list[EvaluatedRecord]],
        records: Sequence[Record],
    ) -> None:
        sequence, version = self.sequence, self.history.state.version
        for evaluated in apply(records, self._clock.read()):
            self._on_verdict(evaluated)
        in_force = self.history.in_force
        if self.history.state.version != version and in_force is not None:
            self._on_change(in_force)
        if self.sequence != sequence:
            self._on_progress()


class RecordFetcher:
    """Fetches records that other instances have and this one lacks.

    Parameters
    ----------
    updater : ConfigurationUpdater
        Takes the records.
    find_source : callable
        Takes a sequence and returns the peer address of an instance that is
        beyond it, or None.
    fetch : callable
        Takes a peer address and a sequence and returns encoded records.
    """

    def __init__(
        self,
        updater: ConfigurationUpdater,
        *,
        find_source: Callable[[int], str | None],
        fetch: Callable[[str, int], Awaitable[Sequence[bytes]]],
    ) -> None:
        self._updater = updater
        self._find_source = find_source
        self._fetch = fetch

    async def run(self) -> None:
        """Fetch until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(FETCH_INTERVAL_MS / 1000)

    async def step(self) -> bool:
        """Fetch once if another instance is ahead; return whether it helped."""
        sequence = self._updater.sequence
        source = self._find_source(sequence)
        if source is None:
            return False
        try:
            records = decode_records(await self._fetch(source, sequence))
        except (PeerError, WireError, RecordError) as error:
            log_message("currantline:spread", peer=source, error=str(error))
            return False
        self._updater.catch_up(records)
        return self._updater.sequence > sequence
