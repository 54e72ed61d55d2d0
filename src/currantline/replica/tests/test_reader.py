"""Tests of the reading of the platform."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from currantline.exceptions import HistoryLostError, PlatformError
from currantline.replica import PublicationReader, Record, Replica
from currantline.standin.network import LoopClock, Network, run_session
from currantline.telemetry import EventLog


@attrs.frozen
class Page:
    """Records and a revision."""

    records: tuple[Record, ...]
    revision: int


class FakePlatform:
    """A platform that fails on demand."""

    def __init__(self) -> None:
        self.error: PlatformError | None = None
        self.page = Page((Record("a", 1, "x"), Record("b", 2, "y")), 2)
        self.events: asyncio.Queue[Page] = asyncio.Queue()
        self.calls: list[str] = []

    async def read_all(self) -> Page:
        """Return the page."""
        self.calls.append("all")
        if self.error:
            raise self.error
        return self.page

    async def watch(self, after: int, *, wait_ms: int) -> Page:
        """Return the next events."""
        self.calls.append("watch")
        if self.error:
            raise self.error
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await self.events.get()
        except TimeoutError:
            return Page((), after)


class Bench:
    """A reader with a fake platform."""

    def __init__(self) -> None:
        clock = LoopClock(asyncio.get_running_loop())
        self.platform = FakePlatform()
        self.replica = Replica()
        self.is_reader = True
        self.lines: list[bytes] = []
        log = EventLog("i", clock=clock, write=self._write)
        self.reader = PublicationReader(
            self.platform,
            self.replica,
            is_reader=lambda: self.is_reader,
            is_lookout=lambda: False,
            publish=lambda changed: None,
            clock=clock,
            rng=random.Random(1),
            log=log,
        )

    def _write(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)


def run(play: Callable[[Bench], Awaitable[None]]) -> None:
    """Run a play beside the reader in virtual time."""

    async def session() -> None:
        bench = Bench()
        tasks = [
            asyncio.create_task(bench.reader.run()),
            asyncio.create_task(bench.reader.drop_lapsed()),
        ]
        await play(bench)
        for task in tasks:
            task.cancel()

    run_session(Network(), session())


class TestPublicationReader:
    """Duty of reading, and outages."""

    def test_reads_then_watches(self) -> None:
        """Guards against repeated complete readings, which cost the most."""

        async def play(bench: Bench) -> None:
            await asyncio.sleep(9.0)
            assert bench.platform.calls[0] == "all"
            assert bench.platform.calls.count("all") == 1
            assert len(bench.platform.calls) <= 4

        run(play)

    def test_others_do_not_read(self) -> None:
        """Guards against calls by instances that a neighbour reads for."""

        async def play(bench: Bench) -> None:
            bench.is_reader = False
            bench.replica.merge([Record("a", 1, "x")], 1)
            await asyncio.sleep(5.0)
            assert bench.platform.calls == []

        run(play)

    def test_alone(self) -> None:
        """Guards against an instance that waits for others and knows nothing."""

        async def play(bench: Bench) -> None:
            bench.is_reader = False
            await asyncio.sleep(1.0)
            assert bench.replica.revision == 2

        run(play)

    def test_lost_history(self) -> None:
        """Guards against changes missed when the platform drops its history."""

        async def play(bench: Bench) -> None:
            await asyncio.sleep(0.1)
            bench.platform.error = HistoryLostError("gone")
            await asyncio.sleep(4.5)
            bench.platform.error = None
            bench.platform.page = Page((Record("a", 1, "x"),), 7)
            await asyncio.sleep(5.0)
            assert bench.replica.list_keys() == ["a"]
            assert bench.replica.revision == 7

        run(play)

    def test_outage_keeps_targets(self) -> None:
        """Guards against targets dropped because their entries lapsed meanwhile."""

        async def play(bench: Bench) -> None:
            await asyncio.sleep(0.1)
            bench.platform.error = PlatformError("down")
            await asyncio.sleep(10.0)
            assert not bench.reader.can_read
            bench.platform.error = None
            bench.platform.events.put_nowait(Page((Record("a", 5, None),), 5))
            while bench.replica.revision < 5:
                await asyncio.sleep(0.05)
            assert sorted(bench.replica.list_keys()) == ["a", "b"]
            bench.platform.events.put_nowait(Page((Record("c", 6, "z"),), 6))
            await asyncio.sleep(2.5)
            assert sorted(bench.replica.list_keys()) == ["b", "c"]

        run(play)

    def test_outage_is_logged_once(self) -> None:
        """Guards against lost and regained dependencies that leave no line."""

        async def play(bench: Bench) -> None:
            await asyncio.sleep(0.1)
            bench.platform.error = PlatformError("down")
            await asyncio.sleep(5.0)
            bench.platform.error = None
            await asyncio.sleep(8.0)
            text = b"".join(bench.lines)
            assert b"platform_lost" in text
            assert text.count(b"platform_regained") == 1

        run(play)
