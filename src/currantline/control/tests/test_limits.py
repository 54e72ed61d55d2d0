"""Tests of limits that are passed on to dispatch."""

import asyncio
import random

import pytest

from currantline.clock import ManualClock
from currantline.configuration import Service, Target
from currantline.control import LimitKeeper
from currantline.load import LoadReport, Observation, Signal, TargetBook, TargetState

COUNT = 1001
READY = LoadReport(in_flight=0, slots=2, state=TargetState.READY)


class TestLimitKeeper:
    """Limits that change without an attempt."""

    def test_looks_at_all_targets_in_steps(self) -> None:
        """Guards against a target left out, or requests that wait for all looks."""
        names = [f"t{number}" for number in range(COUNT)]
        targets = [
            Target(name=name, address="127.0.0.1:1", data_centre="a", slots=2)
            for name in names
        ]
        book = TargetBook(random.Random(1))
        book.set_services([Service(name="s", targets=tuple(targets))])
        for name in names:
            told = Observation(signal=Signal.PROBED, sent=0.0, report=READY)
            book.observe(name, told, 0.0)
        steps: list[list[str]] = [[]]
        pauses_s: list[float] = []

        async def sleep(pause_s: float) -> None:
            pauses_s.append(pause_s)
            if sum(pauses_s) >= 0.05 - 1e-9:
                raise asyncio.CancelledError
            steps.append([])

        keeper = LimitKeeper(
            book,
            clock=ManualClock(),
            set_limit=lambda target, slots: steps[-1].append(target),
            on_drain=lambda: None,
            sleep=sleep,
        )
        keeper.set_targets(names)
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(keeper.run())
        assert sorted(name for step in steps for name in step) == sorted(names)
        assert max(len(step) for step in steps) <= 200
