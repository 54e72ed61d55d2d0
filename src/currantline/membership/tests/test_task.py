"""Tests of the membership task over an in-memory network."""

import asyncio
import random
from typing import Any

import attrs

from currantline.clock import ManualClock
from currantline.exceptions import PeerError
from currantline.membership import (
    Contact,
    Gossip,
    InstanceEntry,
    ListedInstance,
    MembershipOptions,
    MembershipTask,
    PublishedList,
    Status,
)

# With a retention time of 1 s, a new fleet obtains the lease within a short run.
OPTIONS = MembershipOptions(list_retention_ms=1000.0)
NAMES = ("a", "b", "c")


class Fleet:
    """Tasks on one clock; the port of an address identifies the instance."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.tasks: dict[str, MembershipTask] = {}
        self.stopped: set[str] = set()
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance at record 4."""
        listed = [
            ListedInstance(
                name=each,
                data_centre="north",
                caller_address="127.0.0.1:7000",
                peer_address=f"127.0.0.1:{7001 + NAMES.index(each)}",
            )
            for each in NAMES
        ]
        local = listed[NAMES.index(name)]
        task = MembershipTask(
            InstanceEntry(
                name=name,
                data_centre="north",
                caller_address=local.caller_address,
                peer_address=local.peer_address,
                incarnation=int(self.clock.read()) + 1,
            ),
            transport=self,
            clock=self.clock,
            rng=random.Random(name),
            seeds=[Contact(name=e.name, peer_address=e.peer_address) for e in listed],
            options=OPTIONS,
        )
        self.published = PublishedList(instances=tuple(listed))
        task.handle_list(self.published, self.clock.read())
        task.handle_configuration(4, 2, 77)
        self.tasks[name] = task
        self.stopped.discard(name)

    async def exchange(self, address: str, request: Gossip) -> Gossip:
        """Deliver a request to the instance at an address."""
        name = NAMES[int(address[-1]) - 1]
        if name in self.stopped:
            raise PeerError(f"{name} is stopped")
        return self.tasks[name].handle_request(request)

    def run(self, duration_ms: float) -> None:
        """Run gossip on all running instances."""

        async def step_all() -> None:
            for _ in range(int(duration_ms / OPTIONS.gossip_interval_ms)):
                self.clock.advance(OPTIONS.gossip_interval_ms)
                for name in NAMES:
                    if name not in self.stopped:
                        task = self.tasks[name]
                        task.handle_list(self.published, self.clock.read())
                        await task.step()

        asyncio.run(step_all())


def drain(queue: "asyncio.Queue[Any]") -> list[Any]:
    """Return all messages of a queue."""
    return [queue.get_nowait() for _ in range(queue.qsize())]


class TestMembershipTask:
    """Tasks that exchange gossip."""

    def test_start_and_death(self) -> None:
        """Guards against a fleet that never becomes ready or keeps a dead instance."""
        fleet = Fleet()
        queue = fleet.tasks["a"].subscribe()
        fleet.run(3000)
        changes = drain(queue)
        assert changes[-1].decision.is_ready
        assert changes[-1].view.names == NAMES
        assert {e.status for e in changes[-1].view.instances} == {Status.READY}
        fleet.stopped.add("c")
        fleet.run(3000)
        assert [change.view.names for change in drain(queue)] == [("a", "b")]

    def test_lease(self) -> None:
        """Guards against a lease never held, or held without a majority."""
        fleet = Fleet()
        fleet.run(6000)
        assert all(task.holds_lease() for task in fleet.tasks.values())
        fleet.stopped |= {"b", "c"}
        fleet.run(2000)
        assert not fleet.tasks["a"].holds_lease()
        fleet.run(6000)
        assert not fleet.tasks["a"].holds_lease()

    def test_pause(self) -> None:
        """Guards against a resumed process that keeps its lease or readiness."""
        fleet = Fleet()
        fleet.run(6000)
        paused = fleet.tasks["a"]
        queue = paused.subscribe()
        drain(queue)
        fleet.stopped.add("a")
        fleet.run(5000)
        fleet.stopped.discard("a")
        assert not paused.holds_lease()
        paused.handle_request(fleet.tasks["b"].table.build_request(fleet.clock.read()))
        first = drain(queue)[0]
        assert first.was_paused
        assert not first.decision.is_ready
        fleet.run(3000)
        assert drain(queue)[-1].decision.is_ready

    def test_leave(self) -> None:
        """Guards against a leaving instance that stays in views or holds the lease."""
        fleet = Fleet()
        fleet.run(6000)
        fleet.tasks["b"].leave()
        fleet.run(500)
        assert fleet.tasks["a"].table.view(fleet.clock.read()).names == ("a", "c")
        assert not fleet.tasks["b"].holds_lease()

    def test_response_delayed_by_pause(self) -> None:
        """Guards against readiness based on a response built before a pause."""
        fleet = Fleet()
        fleet.run(6000)
        task, other = fleet.tasks["a"], fleet.tasks["b"]

        async def delay_response() -> None:
            step = asyncio.create_task(held.step())
            await asyncio.sleep(0)
            fleet.clock.advance(5000)
            gate.set()
            await step

        gate = asyncio.Event()
        held = task

        @attrs.frozen
        class SlowTransport:
            """Transport that returns responses once the gate is set."""

            async def exchange(self, address: str, request: Gossip) -> Gossip:
                """Build the response at once and return it after the gate is set."""
                response = other.handle_request(request)
                await gate.wait()
                return response

        task._transport = SlowTransport()
        asyncio.run(delay_response())
        assert not task.readiness.decide(fleet.clock.read()).is_ready
