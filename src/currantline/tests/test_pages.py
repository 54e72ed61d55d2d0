"""Tests of the examples and of the completeness of the operators page."""

from pathlib import Path

import attrs
import pytest

from currantline.cli import main
from currantline.operator import Metrics
from currantline.settings import Settings

ROOT = Path(__file__).parents[3]
OPERATORS = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")


class TestExamples:
    """Example configurations."""

    @pytest.mark.parametrize(
        ("name", "slots"), [("coop", 2 * 38), ("federation", 6 * 37)]
    )
    def test_check(
        self, name: str, slots: int, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against an example that is invalid or lacks a target."""
        path = str(ROOT / "examples" / f"{name}.yaml")
        assert main(["currantline", "check", path, "--output=json"]) == 0
        assert f'"slots": {slots},' in capsys.readouterr().out


class TestOperatorsPage:
    """Names on the operators page."""

    def test_names_metrics(self) -> None:
        """Guards against a metric that is undocumented or misspelt."""
        for family in Metrics("north").registry.collect():
            suffix = "_total" if family.type == "counter" else ""
            assert f"| `{family.name}{suffix}` |" in OPERATORS

    def test_names_settings(self) -> None:
        """Guards against an undocumented setting."""
        for field in attrs.fields(Settings):
            assert f"| `{field.name}` |" in OPERATORS
