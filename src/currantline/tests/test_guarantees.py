"""Guarantees of section 2.2 of the design page on whole deployments."""

import asyncio

import pytest

from currantline.exceptions import InvariantError
from currantline.standin.alarms import collect_alarms
from currantline.standin.incidents import INCIDENTS, cause
from currantline.standin.journal import (
    INVARIANTS,
    Arrival,
    Disturbance,
    End,
    Journal,
    Level,
)
from currantline.standin.load import ORDER_MARK
from currantline.standin.trial import Trial, run_trial

SEED = 11
RATE = 15.0
BEFORE_S = 1.0
LOAD_S = 9.0
# Faults that make each other worse: work moves while it cannot be seen where to.
PAIRS = [
    ("kill-owner", "platform-down"),
    ("freeze-owner", "drain-target"),
    ("partition", "kill-and-replace"),
    ("leave-owner", "race-patches"),
    ("silent-target", "reject-fast"),
]
FAULTS = [(name,) for name in INCIDENTS] + PAIRS


def run_faults(names: tuple[str, ...], seed: int) -> Journal:
    """Run load with faults at the same time and look for violations meanwhile."""

    async def play(trial: Trial) -> None:
        load = asyncio.create_task(trial.run_load(rate=RATE, duration_s=LOAD_S))
        await asyncio.sleep(BEFORE_S)
        await asyncio.gather(*(cause(trial, name) for name in names))
        assert trial.journal.find_broken() == []
        await load

    return run_trial(play, seed=seed)


def make_end(outcome: str, *, is_match: bool = True) -> End:
    """Return an end of request ``a``."""
    return End(when=9.0, request_id="a", outcome=outcome, is_match=is_match)


def make_level(when: float, version: int, *, digest: int = 5, due: int = 0) -> Level:
    """Return a level of one process."""
    return Level(
        when=when,
        process="i",
        sequence=version,
        version=version,
        digest=digest,
        due_version=due,
    )


class TestGuarantees:
    """Faults of a whole deployment under load."""

    @pytest.mark.parametrize("names", FAULTS, ids="+".join)
    def test_fault(self, names: tuple[str, ...]) -> None:
        """Guards against a fault, or two at a time, that break a guarantee."""
        journal = run_faults(names, SEED)
        assert journal.find_broken() == []
        answered = [end for end in journal.ends if end.outcome == "answered"]
        assert len(answered) > len(journal.ends) / 2

    def test_calm(self) -> None:
        """Guards against probes above half of the budget while nothing fails."""

        async def play(trial: Trial) -> None:
            await asyncio.sleep(8.0)
            await trial.run_load(rate=RATE, duration_s=2.0)

        journal = run_trial(play, seed=SEED)
        assert journal.find_broken() == []
        assert {end.outcome for end in journal.ends} == {"answered"}
        assert set(journal.probes) == set(journal.budgets)


class TestInvariants:
    """The table of invariants finds what it is there to find."""

    CASES = (
        Journal(
            arrivals=[
                Arrival(when=number, target="t", request_id=f"s{ORDER_MARK}1")
                for number in (1.0, 2.0)
            ]
        ),
        Journal(
            arrivals=[Arrival(when=1.0, target="t", request_id="a")],
            ends=[make_end("not-run")],
        ),
        Journal(ends=[make_end("answered", is_match=False)]),
        Journal(ends=[make_end("missing")]),
        Journal(ends=[make_end("unknown")]),
        Journal(
            drains=[Disturbance(name="t", start=1.0)],
            arrivals=[Arrival(when=3002.0, target="t", request_id="a")],
        ),
        Journal(levels=[make_level(1.0, 2), make_level(2.0, 1, digest=4)]),
        Journal(budgets={"t": 2.0}, probes={"t": [1.0, 2.0, 3.0]}),
        Journal(alarms=["a task ended"]),
    )

    @pytest.mark.parametrize(
        ("name", "journal"), list(zip(INVARIANTS, CASES, strict=True)), ids=INVARIANTS
    )
    def test_violation(self, name: str, journal: Journal) -> None:
        """Guards against a check that passes whatever happens."""
        assert {line.split(":")[0] for line in journal.find_broken()} == {name}

    def test_levels(self) -> None:
        """Guards against late, invented or differing versions that go unseen."""
        for level in (
            make_level(2.0, 1, digest=6),
            make_level(2.0, 2),
            make_level(2.0, 1, due=2),
        ):
            journal = Journal(published=[(0.0, 1)], levels=[make_level(1.0, 1), level])
            assert len(journal.find_broken()) == 1

    def test_calm_budget(self) -> None:
        """Guards against probes above half the budget counted as allowed in calm."""
        journal = Journal(budgets={"t": 2.0}, probes={"t": [20_001.0, 20_002.0]})
        assert journal.find_broken()
        journal.disturbances.append(Disturbance(name="f", start=0.0, end=19_000.0))
        assert not journal.find_broken()

    def test_caught_error(self) -> None:
        """Guards against a broken invariant that an instance keeps to itself."""
        alarms: list[str] = []
        with collect_alarms(alarms):
            try:
                raise InvariantError("slots were miscounted")
            except InvariantError:
                pass
        assert alarms == ["InvariantError: slots were miscounted"]
