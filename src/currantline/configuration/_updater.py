"""Application of records as they arrive, and their exchange between instances."""

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

# A record that a reader has received is fetched by other instances within one interval.
FETCH_INTERVAL_MS = 200.0


def encode_record(record: Record) -> bytes:
    """Encode a record as JSON for a peer."""
    return json.dumps(render_record(record), separators=(",", ":")).encode()


def decode_records(documents: Iterable[bytes]) -> list[Record]:
    """Decode the records received from a peer.

    Raises
    ------
    RecordError
        If a document is not a record.
    """
    try:
        return [read_record(json.loads(document)) for document in documents]
    except (ValueError, RecursionError) as error:
        raise RecordError("a record received from a peer is not JSON") from error


class ConfigurationUpdater:
    """Applies records to the history and reports what changed.

    Parameters
    ----------
    history : History
        State in force.
    clock : Clock
        Source of time.
    on_verdict : callable
        Called with each evaluated record.
    on_change : callable
        Called with the configuration in force after each change.
    on_progress : callable
        Called after the sequence has increased.
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
        """Sequence of the last evaluated record."""
        return self.history.state.sequence

    def apply_published(self, records: Sequence[Record]) -> None:
        """Apply records published by the configuration service, in order."""
        self._apply(self.history.apply_published, records)

    def catch_up(self, records: Sequence[Record]) -> None:
        """Apply records sent by a peer, in order."""
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
    """Fetches records that peers have and the local instance lacks.

    Parameters
    ----------
    updater : ConfigurationUpdater
        Applies the records.
    find_source : callable
        Takes a sequence and returns the peer address of an instance with a higher
        one, or None.
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
        """Fetch once if a peer is ahead; return whether the sequence increased."""
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
