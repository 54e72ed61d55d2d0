"""Tests of the platform reader."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
import pytest

from currantline.exceptions import HistoryLostError, PlatformError
from currantline.replica import PlatformReader, Record, Replica
from currantline.replica._reader import DISSEMINATION_MS
from currantline.standin.network import LoopClock, Network, run_session
from currantline.telemetry import EventLog

RECOVERY_MS = 3_000.0

# Number of revisions in an era.
ERA = 1_000


@attrs.frozen
class Batch:
    """Records, complete up to a revision."""

    records: tuple[Record, ...]
    revision: int


class FakePlatform:
    """Fake platform that fails on demand."""

    def __init__(self) -> None:
        self.error: PlatformError | None = None
        self.batch = Batch((Record("a", 1, "x"), Record("b", 2, "y")), 2)
        self.events: asyncio.Queue[Batch] = asyncio.Queue()
        self.calls: list[str] = []
        self.call_times_s: list[float] = []

    async def read_all(self) -> Batch:
        """Return the batch."""
        self.calls.append("all")
        if self.error:
            raise self.error
        return self.batch

    async def watch(self, after: int, *, wait_ms: int) -> Batch:
        """Return the next batch of changes, or an empty one after the wait."""
        self.calls.append("watch")
        self.call_times_s.append(asyncio.get_running_loop().time())
        if self.error:
            raise self.error
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await self.events.get()
        except TimeoutError:
            return Batch((), after)

    def find_era(self, revision: int) -> int:
        """Return the era of a revision."""
        return revision // ERA

    def describe_revision(self, revision: int) -> dict[str, int]:
        """Return a revision as fields of a log line."""
        return {"era": revision // ERA, "revision": revision % ERA}


class Harness:
    """Reader with a fake platform."""

    def __init__(self, seed: int = 1) -> None:
        clock = LoopClock(asyncio.get_running_loop())
        self.platform = FakePlatform()
        self.replica = Replica(find_era_start=lambda r: r // ERA * ERA)
        self.is_reader = True
        self.log_lines: list[bytes] = []
        log = EventLog("i", clock=clock, write=self._write)
        self.reader = PlatformReader(
            self.platform,
            self.replica,
            is_reader=lambda: self.is_reader,
            uses_short_watches=lambda: False,
            on_change=lambda changed: None,
            recovery_ms=RECOVERY_MS,
            clock=clock,
            rng=random.Random(seed),
            log=log,
        )

    def _write(self, data: bytes) -> int:
        self.log_lines.append(data)
        return len(data)


def run(scenario: Callable[[Harness], Awaitable[None]]) -> None:
    """Run a scenario concurrently with the reader, in virtual time."""

    async def session() -> None:
        harness = Harness()
        tasks = [
            asyncio.create_task(harness.reader.run()),
            asyncio.create_task(harness.reader.run_deferred_removals()),
        ]
        await scenario(harness)
        for task in tasks:
            task.cancel()

    run_session(Network(), session())


class TestPlatformReader:
    """Reading, watching and outages."""

    def test_reads_then_watches(self) -> None:
        """Guards against repeated full reads, which are the most expensive calls."""

        async def scenario(harness: Harness) -> None:
            await asyncio.sleep(9.0)
            assert harness.platform.calls[0] == "all"
            assert harness.platform.calls.count("all") == 1
            assert len(harness.platform.calls) <= 4

        run(scenario)

    def test_only_the_reader_calls(self) -> None:
        """Guards against platform calls by instances that are not readers."""

        async def scenario(harness: Harness) -> None:
            harness.is_reader = False
            harness.replica.merge([Record("a", 1, "x")], 1)
            await asyncio.sleep(5.0)
            assert harness.platform.calls == []

        run(scenario)

    def test_bootstrap_without_reader(self) -> None:
        """Guards against an instance with an empty replica that waits forever."""

        async def scenario(harness: Harness) -> None:
            harness.is_reader = False
            await asyncio.sleep(1.0)
            assert harness.replica.revision == 2

        run(scenario)

    def test_lost_history(self) -> None:
        """Guards against changes missed when the platform discards its history."""

        async def scenario(harness: Harness) -> None:
            await asyncio.sleep(0.1)
            harness.platform.error = HistoryLostError("gone")
            await asyncio.sleep(4.5)
            harness.platform.error = None
            harness.platform.batch = Batch((Record("a", 1, "x"),), 7)
            await asyncio.sleep(5.0)
            assert harness.replica.list_keys() == ["a"]
            assert harness.replica.revision == 7

        run(scenario)

    def test_outage_keeps_targets(self) -> None:
        """Guards against removal of targets whose entries expired in an outage."""

        async def scenario(harness: Harness) -> None:
            await asyncio.sleep(0.1)
            harness.platform.error = PlatformError("down")
            await asyncio.sleep(10.0)
            assert not harness.reader.can_reach_platform
            harness.platform.error = None
            harness.platform.events.put_nowait(Batch((Record("a", 5, None),), 5))
            while harness.replica.read_revision < 5:
                await asyncio.sleep(0.05)
            assert sorted(harness.replica.list_keys()) == ["a", "b"]
            harness.platform.events.put_nowait(Batch((Record("c", 6, "z"),), 6))
            await asyncio.sleep(2.5)
            assert sorted(harness.replica.list_keys()) == ["b", "c"]

        run(scenario)

    def test_outage_is_logged_once(self) -> None:
        """Guards against outages and recoveries that are not logged."""

        async def scenario(harness: Harness) -> None:
            await asyncio.sleep(0.1)
            harness.platform.error = PlatformError("down")
            await asyncio.sleep(5.0)
            harness.platform.error = None
            await asyncio.sleep(8.0)
            text = b"".join(harness.log_lines)
            assert b"platform_lost" in text
            assert text.count(b"platform_regained") == 1

        run(scenario)


class TestBackoff:
    """Calls while the platform is down."""

    @pytest.mark.parametrize("length_s", [0.5 * n for n in range(1, 41)])
    def test_returned_platform_is_read(self, length_s: float) -> None:
        """Guards against a platform that no instance reads long after its return."""

        async def scenario(harness: Harness) -> None:
            loop = asyncio.get_running_loop()
            await asyncio.sleep(0.1)
            harness.platform.error = PlatformError("down")
            await asyncio.sleep(length_s)
            harness.platform.error = None
            returned_s = loop.time()
            await asyncio.sleep(RECOVERY_MS / 1000)
            first_s = min(s for s in harness.platform.call_times_s if s >= returned_s)
            assert first_s - returned_s <= (RECOVERY_MS - DISSEMINATION_MS) / 1000

        run(scenario)

    def test_instances_are_out_of_step(self) -> None:
        """Guards against a fleet that returns to the platform all at once."""
        pauses_s = []

        async def session(seed: int) -> None:
            harness = Harness(seed)
            harness.platform.error = PlatformError("down")
            harness.replica.merge([Record("a", 1, "x")], 1)
            reading = asyncio.create_task(harness.reader.run())
            await asyncio.sleep(8.0)
            reading.cancel()
            times_s = harness.platform.call_times_s
            pauses_s.append(times_s[-1] - times_s[-2])

        for seed in range(20):
            run_session(Network(), session(seed))
        assert len({round(pause_s, 1) for pause_s in pauses_s}) > 3

    def test_retries_without_being_the_reader(self) -> None:
        """Guards against an instance that takes an old outage for a recent one.

        Removals are deferred after an outage; those that are read long after it must
        be in force at once.
        """

        async def scenario(harness: Harness) -> None:
            await asyncio.sleep(0.1)
            harness.platform.error = PlatformError("down")
            await asyncio.sleep(5.0)
            harness.platform.error = None
            harness.is_reader = False
            await asyncio.sleep(60.0)
            harness.is_reader = True
            harness.platform.events.put_nowait(Batch((Record("a", 5, None),), 5))
            await asyncio.sleep(0.5)
            assert harness.replica.list_keys() == ["b"]

        run(scenario)
