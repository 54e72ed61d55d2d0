"""Tests of the handover of evidence between owners, on the in-memory network."""

import attrs
import pytest

from currantline.bench.handover import CASES, run_case
from currantline.configuration import Configuration, Route, Service, Target

TARGETS = 4


def make_configuration() -> Configuration:
    """Return a configuration with two services, each with one owner."""
    services = {}
    for number, name in enumerate(("archive", "ordering")):
        targets = tuple(
            Target(
                name=f"{name}-{i}",
                address=f"10.2.{number}.{i + 1}:7000",
                data_centre="north",
                slots=2,
            )
            for i in range(TARGETS)
        )
        route = Route(name="any", path_prefix="/", idempotent=True)
        services[name] = Service(
            name=name, targets=targets, routes=(route,), timeout_ms=20_000.0
        )
    return Configuration(version=1, services=services)


class TestHandOver:
    """Waiting times of requests in virtual time, which are deterministic."""

    @pytest.mark.parametrize(
        ("name", "longest_ms"), [("kill", 1000.0), ("leave", 200.0), ("join", 200.0)]
    )
    def test_waits(self, name: str, longest_ms: float) -> None:
        """Guards against new owners that delay requests for lack of evidence."""
        case = attrs.evolve(CASES[name], duration_s=5.0)
        result = run_case(make_configuration(), case, count=4, rate=5.0, seed=1)
        assert result.find_quantile(1.0) <= longest_ms
        assert result.outcomes["not-run"] == 0
        assert result.probe_ratio <= 1.0
        assert result.violations == []
