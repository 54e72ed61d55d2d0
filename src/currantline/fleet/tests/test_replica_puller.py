"""Tests of pulls of missing changes, in virtual time."""

import asyncio
import random

import pytest

from currantline.exceptions import PeerError
from currantline.fleet import Datagram, DatagramKind, Member, ReplicaPuller
from currantline.replica import Changes, Record, Replica
from currantline.standin.network import LoopClock, Network, run_session
from currantline.telemetry import EventLog

# Time after which a pull fails, and by which a change must be in force everywhere.
PULL_TIMEOUT_S = 1.0
APPLY_LIMIT_S = 2.0


class Sources:
    """Instances that advertise a change.

    Parameters
    ----------
    silent : int
        Number of those that accept a pull and do not answer.
    answering : int
        Number of the others.
    seed : int
        Seed of the order in which they are asked.
    """

    def __init__(self, *, silent: int, answering: int, seed: int) -> None:
        clock = LoopClock(asyncio.get_running_loop())
        self.hosts = [f"10.1.0.{n}" for n in range(1, silent + answering + 1)]
        self.silent = set(self.hosts[:silent])
        self.pulling = 0
        self.max_pulling = 0
        self.pulled: list[str] = []
        self.delays_s: dict[str, float] = {}
        self.replies: dict[str, Changes] = {}
        self.applied = asyncio.Event()
        self.published = Replica()
        record = Record(key="k", revision=9, document="{}")
        self.published.apply_changes(Changes(position=1, revision=9, records=(record,)))
        self.replica = Replica()
        self.puller = ReplicaPuller(
            self.replica,
            data_centre="a",
            pull=self.pull,
            apply_changes=self.apply,
            clock=clock,
            rng=random.Random(seed),
            log=EventLog("i", clock=clock, write=len),
        )

    async def pull(self, host: str, after: int) -> Changes:
        """Return a change, or fail after the time-out."""
        self.pulled.append(host)
        self.pulling += 1
        self.max_pulling = max(self.max_pulling, self.pulling)
        try:
            delay_s = PULL_TIMEOUT_S if host in self.silent else 0.002
            await asyncio.sleep(self.delays_s.get(host, delay_s))
        finally:
            self.pulling -= 1
        if host in self.silent:
            raise PeerError(f"{host} did not answer")
        return self.replies.get(host) or self.published.list_changes(after)

    def apply(self, changes: Changes) -> None:
        """Apply a change that was pulled."""
        self.replica.apply_changes(changes)
        self.applied.set()

    def advertise(self, *hosts: str) -> None:
        """Let some of them advertise the change, by default all."""
        for host in hosts or self.hosts:
            member = Member(host=host, data_centre="a", incarnation=1)
            self.puller.observe(
                Datagram(
                    kind=DatagramKind.UPDATE,
                    sequence_number=0,
                    subject="",
                    sender=member,
                    known_count=1,
                    revision=self.published.revision,
                    digest=self.published.digest,
                    members=(),
                )
            )


class TestSilentSources:
    """Sources that do not answer."""

    @pytest.mark.parametrize("seed", range(8))
    def test_several(self, seed: int) -> None:
        """Guards against a change that comes late since several sources are frozen."""

        async def scenario() -> None:
            sources = Sources(silent=4, answering=1, seed=seed)
            task = asyncio.create_task(sources.puller.run())
            sources.advertise()
            async with asyncio.timeout(APPLY_LIMIT_S):
                await sources.applied.wait()
            task.cancel()

        run_session(Network(), scenario())

    def test_older_source(self) -> None:
        """Guards against a newer state that is given up for an older one."""

        async def scenario() -> None:
            sources = Sources(silent=0, answering=2, seed=1)
            sources.delays_s = {"10.1.0.1": 0.3, "10.1.0.2": 0.5}
            older = Changes(position=1, revision=8, records=())
            sources.replies["10.1.0.1"] = older
            task = asyncio.create_task(sources.puller.run())
            sources.advertise("10.1.0.1")
            await asyncio.sleep(0.1)
            sources.advertise("10.1.0.2")
            await asyncio.sleep(1.0)
            assert sources.replica.revision == 9
            assert sorted(sources.pulled) == ["10.1.0.1", "10.1.0.2"]
            task.cancel()

        run_session(Network(), scenario())

    def test_no_needless_pull(self) -> None:
        """Guards against several pulls of what one source delivers at once."""

        async def scenario() -> None:
            sources = Sources(silent=0, answering=5, seed=1)
            task = asyncio.create_task(sources.puller.run())
            sources.advertise()
            await sources.applied.wait()
            assert len(sources.pulled) == 1
            task.cancel()

        run_session(Network(), scenario())

    def test_all(self) -> None:
        """Guards against an ever larger number of pulls that wait."""

        async def scenario() -> None:
            sources = Sources(silent=20, answering=0, seed=1)
            task = asyncio.create_task(sources.puller.run())
            for _ in range(40):
                sources.advertise()
                await asyncio.sleep(0.25)
            assert sources.max_pulling <= 3
            task.cancel()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert sources.pulling == 0

        run_session(Network(), scenario())
