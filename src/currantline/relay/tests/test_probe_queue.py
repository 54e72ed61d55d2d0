"""Tests of the queue of searches for a target."""

import asyncio

from currantline.relay._probe_queue import ProbeQueue, Urgency
from currantline.standin.network import LoopClock, Network, run_session


class TestTurns:
    """Number of requests that search at the same time."""

    def count_turns(self, weight: int) -> int:
        """Return how many of ten waiting requests search at once."""

        async def session() -> int:
            queue = ProbeQueue(LoopClock(asyncio.get_running_loop()), lambda: weight)
            urgency = Urgency(False, 0, 0.0)
            waiting = [queue.wait_for_turn(lambda: urgency) for _ in range(10)]
            tasks = [asyncio.create_task(turn) for turn in waiting]
            await asyncio.sleep(1.0)
            return sum(task.done() for task in tasks)

        return run_session(Network(), session())

    def test_default_weight(self) -> None:
        """Guards against searches of all waiting requests that fill the targets."""
        assert self.count_turns(1) == 1

    def test_large_instance(self) -> None:
        """Guards against callers of a large instance that wait for each other.

        It gets several times as many callers as the others.
        """
        assert self.count_turns(5) == 5
