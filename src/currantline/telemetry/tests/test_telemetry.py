"""Tests of the event log and the metrics."""

import json

from currantline.clock import ManualClock
from currantline.telemetry import EventLog, Meter


class Sink:
    """File descriptor stub that blocks while it is not open."""

    def __init__(self) -> None:
        self.data = b""
        self.is_open = True

    def write(self, data: bytes) -> int:
        """Write up to ten bytes."""
        if not self.is_open:
            raise BlockingIOError
        self.data += data[:10]
        return len(data[:10])

    def read_lines(self) -> list[dict[str, object]]:
        """Return the decoded lines."""
        return [json.loads(line) for line in self.data.splitlines()]


class TestEventLog:
    """Event log."""

    def test_partial_writes(self) -> None:
        """Guards against truncated lines when only a part of them is written."""
        sink = Sink()
        log = EventLog("i", clock=ManualClock(), write=sink.write)
        log.write("one", value=1)
        log.write("two")
        assert [line["event"] for line in sink.read_lines()] == ["one", "two"]

    def test_blocked_reader(self) -> None:
        """Guards against blocking or unbounded memory while nobody reads the log."""
        sink = Sink()
        clock = ManualClock()
        log = EventLog("i", clock=clock, write=sink.write)
        sink.is_open = False
        for _ in range(10_000):
            clock.advance(10)
            log.write("request", text="x" * 100)
        assert log.dropped > 0
        sink.is_open = True
        log.flush()
        assert len(sink.data) < 300_000

    def test_rate_limit(self) -> None:
        """Guards against a log volume that grows with load, and unreported drops."""
        sink = Sink()
        clock = ManualClock()
        log = EventLog("i", clock=clock, write=sink.write)
        for _ in range(1_000):
            log.write("request")
        assert len(sink.read_lines()) == 400
        clock.advance(1_000)
        log.write("request")
        assert sink.read_lines()[-1]["dropped_lines"] == 600


class TestMeter:
    """Metrics of one instance."""

    def test_render(self) -> None:
        """Guards against output that Prometheus cannot parse."""
        meter = Meter()
        meter.count("requests", status="200")
        meter.observe("request_ms", 30.0, service="s")
        meter.add_gauge("targets", lambda: 4.0)
        text = meter.render().decode()
        assert 'currantline_requests_total{status="200"} 1.0' in text
        assert 'currantline_request_ms_bucket{le="50.0",service="s"} 1.0' in text
        assert "currantline_targets 4.0" in text
