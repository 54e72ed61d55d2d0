"""Tests of the reader of the configuration service."""

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import pytest

from currantline.clock import ManualClock
from currantline.configuration import (
    History,
    HttpRecordService,
    ReaderOptions,
    Record,
    RecordReader,
    _reader,
    select_readers,
)
from currantline.exceptions import PlatformError, WireError
from currantline.membership import InstanceEntry, View
from currantline.standin.platform import Platform
from currantline.wire import Request, Response

LOG: list[Any] = [
    {"sequence": 1, "kind": "snapshot", "body": {"version": 1}},
    {"sequence": 2, "kind": "patch", "base_version": 1, "body": []},
]


class ScriptedService:
    """Returns scripted results, then leaves every read pending."""

    def __init__(self, clock: ManualClock, results: Sequence[Any]) -> None:
        self.clock = clock
        self.results = list(results)
        self.reads: list[tuple[int, float]] = []
        self.is_idle = asyncio.Event()

    async def read_records(self, after: int, wait_ms: float) -> Sequence[Any]:
        """Return the next result; None stands for a read that waits without result."""
        self.reads.append((after, wait_ms))
        if not self.results:
            self.is_idle.set()
            await asyncio.Event().wait()
        result = self.results.pop(0)
        if result is None:
            self.clock.advance(wait_ms)
            return []
        if isinstance(result, Exception):
            raise result
        found: Sequence[Any] = result
        return found


class ReaderHarness:
    """A reader with a scripted service and a history."""

    def __init__(self, *results: Any, known: int = 0) -> None:
        clock = ManualClock()
        self.history = History()
        self.delays: list[float] = []
        self.service = ScriptedService(clock, results)
        self.reader = RecordReader(
            self.service,
            read_sequence=lambda: self.history.state.sequence,
            on_records=self.receive,
            clock=clock,
            rng=random.Random(1),
            options=ReaderOptions(check_interval=3),
            sleep=self.sleep,
        )
        for document in LOG[:known]:
            self.history.apply(Record(**document), 0.0)

    def receive(self, records: list[Record]) -> None:
        """Apply records."""
        for record in records:
            self.history.apply(record, 0.0)

    async def sleep(self, duration_ms: float) -> None:
        """Record a delay."""
        self.delays.append(duration_ms)

    async def run_harness(self) -> None:
        """Read until all scripted results have been returned."""
        self.reader.set_reading(True)
        await self.service.is_idle.wait()
        await self.reader.stop()


class TestRecordReader:
    """Reading of records."""

    def test_reads(self) -> None:
        """Guards against records that are read twice or skipped."""

        async def run_harness() -> ReaderHarness:
            harness = ReaderHarness(LOG[:1], None, LOG[1:])
            await harness.run_harness()
            return harness

        harness = asyncio.run(run_harness())
        assert harness.history.state.sequence == 2
        assert harness.delays == []
        reads = [(0, 3000.0), (1, 3000.0), (1, 3000.0), (1, 0.0)]
        assert harness.service.reads == reads

    @pytest.mark.parametrize(
        ("results", "count"),
        [
            ([PlatformError("down")] * 9, "failed"),
            ([[{"sequence": "1"}]] * 9, "failed"),
            ([[]] * 9, "stale"),
            ([LOG[:1]] * 9, "stale"),
            ([LOG[1:], []] * 9, "stalled"),
            ([LOG[1:], [{**LOG[1], "sequence": 4}]] * 9, "stalled"),
        ],
    )
    def test_backoff(self, results: list[Any], count: str) -> None:
        """Guards against a busy loop of reads that fail or bring no progress."""

        async def run_harness() -> ReaderHarness:
            harness = ReaderHarness(*results, known=2)
            await harness.run_harness()
            return harness

        harness = asyncio.run(run_harness())
        state = harness.history.state
        assert (state.sequence, state.version) == (2, 1)
        assert getattr(harness.reader.counts, count) == 9
        bounds = [100.0, 200.0, 400.0, 800.0, 1600.0, 2000.0, 2000.0, 2000.0, 2000.0]
        for delay, bound in zip(harness.delays, bounds, strict=True):
            assert bound / 2 <= delay <= bound

    def test_set_reading(self) -> None:
        """Guards against an instance that reads without being selected as a reader."""

        async def run_harness() -> ReaderHarness:
            harness = ReaderHarness()
            harness.reader.set_reading(False)
            harness.reader.set_reading(True)
            await harness.service.is_idle.wait()
            await harness.reader.stop()
            harness.reader.set_reading(False)
            assert len(asyncio.all_tasks()) == 1
            return harness

        assert len(asyncio.run(run_harness()).service.reads) == 1


class TestHttpRecordService:
    """Reading of records over the platform's protocol."""

    def test_platform(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against an invalid response that passes or raises another error."""
        platform = Platform()
        requests: list[str] = []
        failures: list[Response | Exception] = []

        async def fetch(address: str, request: Request, *, timeout_ms: float) -> Any:
            requests.append(f"{address} {request.target} {timeout_ms:g}")
            found = failures.pop() if failures else await platform.handle(request)
            if isinstance(found, Exception):
                raise found
            return found

        monkeypatch.setattr(_reader, "fetch", fetch)
        service = HttpRecordService(address="127.0.0.1:9", margin_ms=500.0)
        for document in LOG:
            platform.publish(document)
        assert asyncio.run(service.read_records(1, 250.0)) == LOG[1:]
        assert requests == ["127.0.0.1:9 /v1/records?after=1&wait_ms=250 750"]
        failures += [
            WireError("silent"),
            Response(status=503, headers=(), body=b'{"records": []}'),
            Response(status=200, headers=(), body=b"{"),
            Response(status=200, headers=(), body=b"[]"),
            Response(status=200, headers=(), body=b'{"records": 1}'),
            Response(status=200, headers=(), body=b"[" * 100_000),
        ]
        while failures:
            with pytest.raises(PlatformError):
                asyncio.run(service.read_records(1, 250.0))


class TestSelectReaders:
    """Selection of readers."""

    def test_replacement(self) -> None:
        """Guards against a lost instance that changes readers other than itself."""
        entries = [
            InstanceEntry(
                name=f"i{number}",
                data_centre="north" if number % 2 else "south",
                caller_address="127.0.0.1:1",
                peer_address="127.0.0.1:2",
            )
            for number in range(10)
        ]
        first = select_readers(View.build(entries), "north", 2)
        assert len(first) == 2
        assert set(first) <= {"i1", "i3", "i5", "i7", "i9"}
        for lost in entries:
            remaining = View.build(entry for entry in entries if entry is not lost)
            second = select_readers(remaining, "north", 2)
            assert len(second) == 2
            assert set(first) - {lost.name} <= set(second)
