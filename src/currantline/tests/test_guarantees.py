"""Tests of the guarantees in section 2.2 of the design page on whole deployments."""

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
# Faults that aggravate each other: ownership moves while information about it is
# delayed or missing.
PAIRS = [
    ("kill-owner", "platform-down"),
    ("freeze-owner", "drain-target"),
    ("partition", "kill-and-replace"),
    ("leave-owner", "race-patches"),
    ("silent-target", "reject-fast"),
]
FAULT_COMBINATIONS = [(name,) for name in FAULTS] + PAIRS


def run_with_faults(names: tuple[str, ...], seed: int) -> Journal:
    """Run load with simultaneous faults and check for violations when they end."""

    async def scenario(trial: Trial) -> None:
        load = asyncio.create_task(trial.run_load(rate=RATE, duration_s=LOAD_S))
        await asyncio.sleep(FAULT_DELAY_S)
        await asyncio.gather(*(inject_fault(trial, name) for name in names))
        assert trial.journal.find_violations() == []
        await load

    return run_trial(scenario, seed=seed)


def make_completion(outcome: str, *, is_match: bool = True) -> Completion:
    """Return a completion of request ``a``."""
    return Completion(when=9.0, request_id="a", outcome=outcome, is_match=is_match)


def make_applied_version(
    when: float, version: int, *, digest: int = 5, due_version: int = 0
) -> AppliedVersion:
    """Return an applied version of process ``i``."""
    return AppliedVersion(
        when=when,
        process="i",
        sequence=version,
        version=version,
        digest=digest,
        due_version=due_version,
    )


class TestGuarantees:
    """Fault injection into a whole deployment under load."""

    @pytest.mark.parametrize("names", FAULT_COMBINATIONS, ids="+".join)
    def test_fault(self, names: tuple[str, ...]) -> None:
        """Guards against one or two simultaneous faults that violate a guarantee."""
        journal = run_with_faults(names, SEED)
        assert journal.find_violations() == []
        answered = [
            completion
            for completion in journal.completions
            if completion.outcome == "answered"
        ]
        assert len(answered) > len(journal.completions) / 2

    def test_calm(self) -> None:
        """Guards against probes above half of the budget without faults."""

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
    """Detection of violations by the table of invariants."""

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
        """Guards against a check that never fails."""
        assert {line.split(":")[0] for line in journal.find_violations()} == {name}

    def test_levels(self) -> None:
        """Guards against undetected late, unpublished or diverging versions."""
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

    def test_budget_without_faults(self) -> None:
        """Guards against the full probe budget being allowed without faults."""
        journal = Journal(budgets={"t": 2.0}, probes={"t": [20_001.0, 20_002.0]})
        assert journal.find_violations()
        journal.fault_windows.append(FaultWindow(name="f", start=0.0, end=19_000.0))
        assert not journal.find_violations()

    def test_caught_error(self) -> None:
        """Guards against an `InvariantError` that is caught and not reported."""
        errors: list[str] = []
        with collect_errors(errors):
            try:
                raise InvariantError("slots were miscounted")
            except InvariantError:
                pass
        assert errors == ["InvariantError: slots were miscounted"]
