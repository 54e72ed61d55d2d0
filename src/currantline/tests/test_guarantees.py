"""Guarantees of section 2.2 of the design page on whole deployments."""

import asyncio

import pytest

from currantline.exceptions import InvariantError
from currantline.standin.alarms import collect_errors
from currantline.standin.incidents import FAULTS, inject_fault
from currantline.standin.journal import (
    INVARIANTS,
    AppliedVersion,
    Arrival,
    Completion,
    FaultWindow,
    Journal,
)
from currantline.standin.load import ORDER_MARK
from currantline.standin.trial import Trial, run_trial

SEED = 11
RATE = 15.0
FAULT_DELAY_S = 1.0
LOAD_S = 9.0
# Faults that make each other worse: work moves while it cannot be seen where to.
PAIRS = [
    ("kill-owner", "platform-down"),
    ("freeze-owner", "drain-target"),
    ("partition", "kill-and-replace"),
    ("leave-owner", "race-patches"),
    ("silent-target", "reject-fast"),
]
FAULT_COMBINATIONS = [(name,) for name in FAULTS] + PAIRS


def run_with_faults(names: tuple[str, ...], seed: int) -> Journal:
    """Run load with faults at the same time and look for violations meanwhile."""

    async def scenario(trial: Trial) -> None:
        load = asyncio.create_task(trial.run_load(rate=RATE, duration_s=LOAD_S))
        await asyncio.sleep(FAULT_DELAY_S)
        await asyncio.gather(*(inject_fault(trial, name) for name in names))
        assert trial.journal.find_violations() == []
        await load

    return run_trial(scenario, seed=seed)


def make_completion(outcome: str, *, is_match: bool = True) -> Completion:
    """Return an end of request ``a``."""
    return Completion(when=9.0, request_id="a", outcome=outcome, is_match=is_match)


def make_applied_version(
    when: float, version: int, *, digest: int = 5, due_version: int = 0
) -> AppliedVersion:
    """Return a level of one process."""
    return AppliedVersion(
        when=when,
        process="i",
        sequence=version,
        version=version,
        digest=digest,
        due_version=due_version,
    )


class TestGuarantees:
    """Faults of a whole deployment under load."""

    @pytest.mark.parametrize("names", FAULT_COMBINATIONS, ids="+".join)
    def test_fault(self, names: tuple[str, ...]) -> None:
        """Guards against a fault, or two at a time, that break a guarantee."""
        journal = run_with_faults(names, SEED)
        assert journal.find_violations() == []
        answered = [
            completion
            for completion in journal.completions
            if completion.outcome == "answered"
        ]
        assert len(answered) > len(journal.completions) / 2

    def test_calm(self) -> None:
        """Guards against probes above half of the budget while nothing fails."""

        async def scenario(trial: Trial) -> None:
            await asyncio.sleep(8.0)
            await trial.run_load(rate=RATE, duration_s=2.0)

        journal = run_trial(scenario, seed=SEED)
        assert journal.find_violations() == []
        assert {completion.outcome for completion in journal.completions} == {
            "answered"
        }
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
            completions=[make_completion("not-run")],
        ),
        Journal(completions=[make_completion("answered", is_match=False)]),
        Journal(completions=[make_completion("missing")]),
        Journal(completions=[make_completion("unknown")]),
        Journal(
            drains=[FaultWindow(name="t", start=1.0)],
            arrivals=[Arrival(when=3002.0, target="t", request_id="a")],
        ),
        Journal(
            applied_versions=[
                make_applied_version(1.0, 2),
                make_applied_version(2.0, 1, digest=4),
            ]
        ),
        Journal(budgets={"t": 2.0}, probes={"t": [1.0, 2.0, 3.0]}),
        Journal(errors=["a task ended"]),
    )

    @pytest.mark.parametrize(
        ("name", "journal"), list(zip(INVARIANTS, CASES, strict=True)), ids=INVARIANTS
    )
    def test_violation(self, name: str, journal: Journal) -> None:
        """Guards against a check that passes whatever happens."""
        assert {line.split(":")[0] for line in journal.find_violations()} == {name}

    def test_levels(self) -> None:
        """Guards against late, invented or differing versions that go unseen."""
        for applied in (
            make_applied_version(2.0, 1, digest=6),
            make_applied_version(2.0, 2),
            make_applied_version(2.0, 1, due_version=2),
        ):
            journal = Journal(
                published=[(0.0, 1)],
                applied_versions=[make_applied_version(1.0, 1), applied],
            )
            assert len(journal.find_violations()) == 1

    def test_calm_budget(self) -> None:
        """Guards against probes above half the budget counted as allowed in calm."""
        journal = Journal(budgets={"t": 2.0}, probes={"t": [20_001.0, 20_002.0]})
        assert journal.find_violations()
        journal.fault_windows.append(FaultWindow(name="f", start=0.0, end=19_000.0))
        assert not journal.find_violations()

    def test_caught_error(self) -> None:
        """Guards against a broken invariant that an instance keeps to itself."""
        errors: list[str] = []
        with collect_errors(errors):
            try:
                raise InvariantError("slots were miscounted")
            except InvariantError:
                pass
        assert errors == ["InvariantError: slots were miscounted"]
