"""Tests of the decision cores as a library."""

import doctest
import importlib
import subprocess
import sys
from pathlib import Path

import pytest

import currantline

ROOT = Path(__file__).parents[3]
IMPORT_CORES = """
from currantline.admission import DurationEstimator, WaitingQueue
from currantline.configuration import History, evaluate_record
from currantline.directory import assign_owners, build_address_response
from currantline.dispatch import Dispatcher, RetryBudget
from currantline.forwarding import Exchange
from currantline.load import ProbeBudget, TargetTracker
from currantline.membership import GossipTable, Readiness, ViewLease
import sys
print(*{"asyncio", "eliot", "google.protobuf", "grpclib", "h11"} & set(sys.modules))
"""
PACKAGES = ("configuration", "dispatch", "forwarding", "load", "membership")


class TestEmbedding:
    """Decision cores used by another program."""

    def test_example(self) -> None:
        """Guards against an example in the documentation that does not run."""
        result = doctest.testfile(
            str(ROOT / "docs" / "embedding.md"), module_relative=False
        )
        assert (result.failed, result.attempted > 10) == (0, True)

    def test_imports(self) -> None:
        """Guards against a core that imports networking or logging libraries."""
        source = str(Path(currantline.__file__).parents[1])
        command = [sys.executable, "-c", IMPORT_CORES]
        result = subprocess.run(
            command, env={"PYTHONPATH": source}, capture_output=True, check=True
        )
        assert result.stdout.split() == []

    @pytest.mark.parametrize("name", PACKAGES)
    def test_public_names(self, name: str) -> None:
        """Guards against a public name without a lazy import."""
        module = importlib.import_module(f"currantline.{name}")
        for public in module.__all__:
            assert getattr(module, public) is not None
        with pytest.raises(AttributeError):
            _ = module.no_such_name
