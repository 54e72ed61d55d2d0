"""Tests of applying records and of fetching them from peers."""

import asyncio
from collections.abc import Sequence
from typing import Any

import pytest

from currantline.clock import ManualClock
from currantline.configuration import (
    Configuration,
    ConfigurationUpdater,
    EvaluatedRecord,
    History,
    Record,
    RecordFetcher,
    decode_records,
    encode_record,
)
from currantline.exceptions import PeerError, RecordError

SNAPSHOT = Record(sequence=1, kind="snapshot", body={"version": 3, "services": {}})
PATCH = Record(
    sequence=2,
    kind="patch",
    base_version=3,
    author="ada",
    body=[{"set": "max_instances", "value": 40}],
)


class CallbackRecorder:
    """Records the callbacks of an updater."""

    def __init__(self) -> None:
        self.evaluated: list[EvaluatedRecord] = []
        self.versions: list[int] = []
        self.progress = 0
        self.updater = ConfigurationUpdater(
            History(),
            clock=ManualClock(),
            on_verdict=self.evaluated.append,
            on_change=self.record_change,
            on_progress=self.record_progress,
        )

    def record_change(self, configuration: Configuration) -> None:
        """Record the version in force."""
        self.versions.append(configuration.version)

    def record_progress(self) -> None:
        """Count an increase of the sequence."""
        self.progress += 1


class TestConfigurationUpdater:
    """Callbacks of an updater."""

    def test_refused_record_changes_nothing(self) -> None:
        """Guards against callbacks for a change by a refused or repeated record."""
        recorder = CallbackRecorder()
        recorder.updater.apply_published([SNAPSHOT])
        stale = Record(sequence=2, kind="patch", base_version=1, body=[])
        recorder.updater.apply_published([stale])
        recorder.updater.apply_published([stale])
        assert recorder.versions == [3]
        assert [type(j.verdict).__name__ for j in recorder.evaluated] == [
            "Accepted",
            "Refused",
        ]
        assert recorder.progress == 2


class TestDecodeRecords:
    """Decoding of records from peers."""

    def test_round_trip(self) -> None:
        """Guards against an encoding that makes a peer reach another verdict."""
        unusual = Record(sequence=3, kind=["odd"], author=None, body={"a": 1})
        assert decode_records([encode_record(PATCH), encode_record(unusual)]) == [
            PATCH,
            unusual,
        ]

    @pytest.mark.parametrize("document", [b"", b"{", b"\xff", b"[" * 100_000, b"{}"])
    def test_malformed_record(self, document: bytes) -> None:
        """Guards against a malformed document that fails only during evaluation."""
        with pytest.raises(RecordError):
            decode_records([document])


class TestRecordFetcher:
    """Fetching of records from peers."""

    @pytest.mark.parametrize(
        ("response", "sequence"),
        [
            ([encode_record(SNAPSHOT)], 1),
            ([b"{"], 0),
            (PeerError("gone"), 0),
        ],
    )
    def test_step(self, response: Any, sequence: int) -> None:
        """Guards against an instance that stops fetching after an invalid response."""

        async def fetch(address: str, after: int) -> Sequence[bytes]:
            if isinstance(response, Exception):
                raise response
            result: Sequence[bytes] = response
            return result

        recorder = CallbackRecorder()
        fetcher = RecordFetcher(
            recorder.updater, find_source=lambda after: "127.0.0.1:1", fetch=fetch
        )
        assert asyncio.run(fetcher.step()) == (sequence > 0)
        assert recorder.updater.sequence == sequence
