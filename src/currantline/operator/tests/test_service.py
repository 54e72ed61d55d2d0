"""Tests of the operator interface."""

import asyncio
import json
from typing import Any

import attrs
import pytest

from currantline.load import LoadReport, TargetState, TargetStatus
from currantline.operator import Metrics, OperatorService, OperatorSources, Readiness
from currantline.wire import Request, Response

BELIEF = TargetStatus(
    target="t0",
    service="ordering",
    state=TargetState.READY,
    evidence_age_ms=12.345,
    limit=2,
    circuit="closed",
    response_ms=None,
    report=LoadReport(in_flight=1, slots=2, state=TargetState.READY),
)
SOURCES = OperatorSources(
    instance="one",
    read_readiness=lambda: Readiness(is_ready=False, reason="no configuration"),
    read_version=lambda: 3,
    read_sequence=lambda: 7,
    read_queues=lambda: {"ordering": {"waiting": 0}},
    read_targets=lambda: [BELIEF],
    read_view=lambda: [{"instance": "one"}],
    read_lease=lambda: {"held": False},
    read_audit=lambda after: [{"number": after + 1}],
)


def make_metrics() -> Metrics:
    """Return metrics with one configured target."""
    metrics = Metrics("north")
    metrics.set_targets({"ordering": ["t0"]})
    return metrics


def get(path: str, *, method: str = "GET", **changes: Any) -> Response:
    """Return the response of an operator service."""
    service = OperatorService(attrs.evolve(SOURCES, **changes), make_metrics())
    return asyncio.run(service.handle(Request(method=method, target=path)))


class TestOperatorService:
    """Responses to operators."""

    def test_ready(self) -> None:
        """Guards against an unready instance that reports 200 or gives no reason."""
        response = get("/ready")
        assert response.status == 503
        assert json.loads(response.body)["reason"] == "no configuration"
        ready = Readiness(is_ready=True)
        assert get("/ready", read_readiness=lambda: ready).status == 200

    def test_status(self) -> None:
        """Guards against a status that is incomplete or not JSON-serializable."""
        status = json.loads(get("/status").body)
        assert (status["version"], status["sequence"]) == (3, 7)
        assert status["targets"][0]["evidence_age_ms"] == 12.3
        assert status["targets"][0]["claim"]["state"] == "ready"
        assert {"queues", "view", "lease", "reason"} <= status.keys()

    @pytest.mark.parametrize(
        ("path", "status"),
        [
            ("/audit", 200),
            ("/audit?after=5", 200),
            ("/audit?after=-1", 400),
            ("/audit?after=²", 400),
            ("/audit?after=" + "9" * 30, 400),
            ("/other", 404),
        ],
    )
    def test_paths(self, path: str, status: int) -> None:
        """Guards against invalid input that closes the connection."""
        assert get(path).status == status

    def test_audit_after(self) -> None:
        """Guards against audit events that are returned again."""
        assert json.loads(get("/audit?after=5").body)["events"] == [{"number": 6}]

    def test_method(self) -> None:
        """Guards against accepting methods other than GET."""
        assert get("/status", method="POST").status == 405


class TestMetrics:
    """Metrics of one instance."""

    def test_units(self) -> None:
        """Guards against milliseconds in a metric with the unit seconds."""
        metrics = make_metrics()
        metrics.observe_request("ordering", "interactive", "answered", duration_ms=8)
        labels = {"service": "ordering", "priority": "interactive"}
        name = "currantline_request_duration_seconds_sum"
        assert metrics.registry.get_sample_value(name, labels) == 0.008

    def test_bounded_labels(self) -> None:
        """Guards against a new time series for each unknown label value."""
        metrics = make_metrics()
        for i in range(100):
            metrics.observe_request(f"s{i}", "interactive", f"o{i}", duration_ms=1)
            metrics.count_probe("ordering", f"t{i}", is_usable=True)
            metrics.count_retry(f"s{i}")
        text = metrics.render().decode()
        assert text.count("currantline_requests_total{") == 1
        assert text.count("currantline_probes_total{") == 1

    def test_removed_target(self) -> None:
        """Guards against series of targets removed from the configuration."""
        metrics = make_metrics()
        metrics.set_limit("ordering", "t0", 2)
        metrics.set_targets({"ordering": ["t1"]})
        metrics.set_limit("ordering", "t0", 2)
        assert "t0" not in metrics.render().decode()
