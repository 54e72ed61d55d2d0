"""Records that one instance has evaluated, and the resulting state."""

import json
from collections import deque
from collections.abc import Callable, Iterable

import attrs

from currantline.configuration._evaluation import evaluate_record, find_incompatibility
from currantline.configuration._limits import find_violation
from currantline.configuration._model import Configuration
from currantline.configuration._parse import build_configuration, render_configuration
from currantline.configuration._record import (
    Accepted,
    ConfigurationState,
    Record,
    RecordKind,
    Refused,
    render_record,
)
from currantline.configuration._schema import RELEASE_SCHEMA, Schema
from currantline.exceptions import ConfigurationError

__all__ = ["EvaluatedRecord", "History", "HistoryCounts"]

# At 3,500 changes a day, this covers more than an hour, longer than an instance lags
# behind.
MAX_TAIL_RECORDS = 256
# Part of the 64 MB available for control work; one record can be 1 MB.
MAX_TAIL_BYTES = 2_000_000
STATE_AUTHOR = "currantline"


@attrs.frozen(kw_only=True)
class EvaluatedRecord:
    """A record and its verdict.

    Parameters
    ----------
    record : Record
        The evaluated record.
    verdict : Accepted or Refused
        Its verdict.
    from_version : int
        Version in force before the record.
    """

    record: Record
    verdict: Accepted | Refused
    from_version: int


@attrs.define(kw_only=True)
class HistoryCounts:
    """Records without effect, by cause.

    Parameters
    ----------
    repeated : int
        Records that had been evaluated before.
    early : int
        Records that were received before their predecessor.
    obstructed : int
        Records that this release cannot evaluate.
    conflicting : int
        States of peers that contradict the local state.
    """

    repeated: int = 0
    early: int = 0
    obstructed: int = 0
    conflicting: int = 0


class History:
    """State in force and the most recent records of the log.

    Parameters
    ----------
    schema : Schema
        Fields that this release knows.
    tail_records : int
        Maximum number of records kept for peers.
    tail_bytes : int
        Maximum size in bytes of the records kept for peers.

    Attributes
    ----------
    state : ConfigurationState
        State after the last evaluated record.
    incompatibility : str
        Why this release cannot evaluate further records; empty if it can.
    changed_at : float
        Time in ms at which the configuration in force last changed.
    counts : HistoryCounts
        Records without effect.
    """

    def __init__(
        self,
        *,
        schema: Schema = RELEASE_SCHEMA,
        tail_records: int = MAX_TAIL_RECORDS,
        tail_bytes: int = MAX_TAIL_BYTES,
    ) -> None:
        self.state = ConfigurationState()
        self.incompatibility = ""
        self.changed_at = 0.0
        self.counts = HistoryCounts()
        self._schema = schema
        self._tail: deque[tuple[Record, int]] = deque()
        self._tail_records = tail_records
        self._tail_bytes = tail_bytes
        self._tail_size = 0
        self._rendered_state: Record | None = None

    @property
    def in_force(self) -> Configuration | None:
        """Configuration in force, None before the first snapshot."""
        return self.state.configuration

    def apply(self, record: Record, now: float) -> Accepted | Refused | None:
        """Evaluate a record if it is the next one.

        Parameters
        ----------
        record : Record
            A published record.
        now : float
            Current time in ms.

        Returns
        -------
        Accepted, Refused or None
            The verdict; None for a record that was evaluated before, that follows a
            gap, or that this release cannot evaluate.
        """
        if record.sequence <= self.state.sequence:
            self.counts.repeated += 1
            return None
        if record.sequence > self.state.sequence + 1:
            self.counts.early += 1
            return None
        if self._find_incompatibility(record):
            return None
        verdict = evaluate_record(self.state, record, self._schema)
        if isinstance(verdict, Accepted):
            self._set_state(verdict.state, now)
        else:
            self.state = attrs.evolve(self.state, sequence=record.sequence)
        self._append_to_tail(record)
        return verdict

    def catch_up(self, records: Iterable[Record], now: float) -> list[EvaluatedRecord]:
        """Apply records sent by a peer, which may start with its state in force.

        Parameters
        ----------
        records : iterable of Record
            Records in order of their sequence.
        now : float
            Current time in ms.

        Returns
        -------
        list of EvaluatedRecord
            Records that were evaluated or, for a state, adopted.
        """
        evaluated = []
        for record in records:
            is_state = record.kind == RecordKind.STATE.value
            evaluated += self._apply_one(
                self._adopt_state if is_state else self.apply, record, now
            )
        return evaluated

    def apply_published(
        self, records: Iterable[Record], now: float
    ) -> list[EvaluatedRecord]:
        """Apply records published by the configuration service.

        Parameters
        ----------
        records : iterable of Record
            Records in order of their sequence.
        now : float
            Current time in ms.

        Returns
        -------
        list of EvaluatedRecord
            Records that were evaluated.
        """
        evaluated = []
        for record in records:
            evaluated += self._apply_one(self.apply, record, now)
        return evaluated

    def records_after(self, sequence: int) -> list[Record]:
        """Return the records that a peer at a sequence needs to catch up.

        Parameters
        ----------
        sequence : int
            Sequence of the last record that the peer evaluated.

        Returns
        -------
        list of Record
            The records that follow or, if they are no longer kept, the state in force
            as one record.
        """
        if sequence >= self.state.sequence:
            return []
        # A starting instance adopts one state faster than it evaluates a log.
        is_in_tail = self._tail and self._tail[0][0].sequence <= sequence + 1
        if sequence and is_in_tail:
            return [r for r, _ in self._tail if r.sequence > sequence]
        if (
            self._rendered_state is None
            or self._rendered_state.sequence != self.state.sequence
        ):
            self._rendered_state = self._render_state()
        return [self._rendered_state]

    def _apply_one(
        self,
        apply: Callable[[Record, float], Accepted | Refused | None],
        record: Record,
        now: float,
    ) -> list[EvaluatedRecord]:
        from_version = self.state.version
        verdict = apply(record, now)
        if verdict is None:
            return []
        return [
            EvaluatedRecord(record=record, verdict=verdict, from_version=from_version)
        ]

    def _find_incompatibility(self, record: Record) -> str:
        self.incompatibility = find_incompatibility(self.state, record, self._schema)
        if self.incompatibility:
            self.counts.obstructed += 1
        return self.incompatibility

    def _set_state(self, state: ConfigurationState, now: float) -> None:
        if state.version != self.state.version:
            self.changed_at = now
        self.state = state
        self.incompatibility = find_incompatibility(
            state, Record(sequence=state.sequence, kind=""), self._schema
        )

    def _append_to_tail(self, record: Record) -> None:
        size = _measure_size(record)
        self._tail.append((record, size))
        self._tail_size += size
        while (
            len(self._tail) > self._tail_records or self._tail_size > self._tail_bytes
        ):
            self._tail_size -= self._tail.popleft()[1]

    def _adopt_state(self, record: Record, now: float) -> Accepted | None:
        if record.sequence <= self.state.sequence:
            self.counts.repeated += 1
            return None
        if self._find_incompatibility(record):
            return None
        state = self._build_state(record)
        if state is None or not self._is_successor(state):
            self.counts.conflicting += 1
            return None
        self._set_state(state, now)
        self._tail.clear()
        self._tail_size = 0
        return Accepted(state=state)

    def _build_state(self, record: Record) -> ConfigurationState | None:
        if record.body is None:
            return ConfigurationState(sequence=record.sequence)
        try:
            configuration = build_configuration(record.body, source="peer")
        except (ConfigurationError, AttributeError, TypeError):
            return None
        if find_violation(configuration) is not None:
            return None
        return ConfigurationState.build(record.sequence, configuration, self._schema)

    def _is_successor(self, state: ConfigurationState) -> bool:
        if state.version == self.state.version:
            return state.digest == self.state.digest
        return state.version > self.state.version

    def _render_state(self) -> Record:
        body = None
        if self.state.configuration is not None:
            document = render_configuration(self.state.configuration)
            body = self._schema.restrict(document, self.state.schema_level)
        return Record(
            sequence=self.state.sequence,
            kind=RecordKind.STATE.value,
            base_version=self.state.version,
            author=STATE_AUTHOR,
            schema_level=self.state.schema_level,
            body=body,
        )


def _measure_size(record: Record) -> int:
    """Return the size in bytes; a record that is not JSON counts as a full tail."""
    try:
        return len(json.dumps(render_record(record)))
    except (TypeError, ValueError, RecursionError):
        return MAX_TAIL_BYTES
