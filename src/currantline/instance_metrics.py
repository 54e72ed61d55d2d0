"""Gauges of an instance, and the endpoint that shows its metrics."""

from collections.abc import Awaitable, Callable

from currantline.clock import Clock
from currantline.placement import TargetRegistry
from currantline.platform import StoreClient, find_era, find_number
from currantline.published_state import PublishedState
from currantline.relay import RelayServer
from currantline.replica import Replica
from currantline.telemetry import EventLog, Meter
from currantline.wire import Request, Response

__all__ = ["METRICS_PORT", "add_instance_gauges", "make_metrics_handler"]

METRICS_PATH = "/metrics"

# Port of the metrics endpoint; the deploy file states the same port.
METRICS_PORT = 9464


def add_instance_gauges(
    meter: Meter,
    *,
    targets: TargetRegistry,
    published: PublishedState,
    replica: Replica,
    store: StoreClient,
    server: RelayServer,
    count_instances: Callable[[], int],
    clock: Clock,
    log: EventLog,
) -> None:
    """Register the gauges of an instance.

    Parameters
    ----------
    meter : Meter
        Shows the gauges.
    targets : TargetRegistry
        Known targets.
    published : PublishedState
        Configuration in force.
    replica : Replica
        Replica of the platform's records.
    store : StoreClient
        Counts calls to the platform.
    server : RelayServer
        Server of the callers.
    count_instances : callable
        Returns the number of live instances.
    clock : Clock
        Source of time.
    log : EventLog
        Log of events.
    """
    meter.add_gauge("targets", lambda: len(targets))
    meter.add_gauge("rate_limited_targets", targets.count_rate_limited)
    meter.add_gauge("evacuated_targets", targets.count_evacuated)
    meter.add_gauge("cold_targets", lambda: targets.count_cold(clock.read()))
    meter.add_gauge("instances", count_instances)
    meter.add_gauge("configuration_version", lambda: published.version)
    meter.add_gauge("routes_of_unknown_kind", lambda: published.unknown_kinds)
    meter.add_gauge("replica_revision", lambda: find_number(replica.revision))
    meter.add_gauge("store_era", lambda: find_era(replica.revision))
    meter.add_gauge("platform_calls", lambda: store.calls)
    meter.add_gauge("caller_connections", lambda: server.connections)
    meter.add_gauge("undelivered_responses", lambda: server.undelivered_responses)
    meter.add_gauge("held_body_bytes", lambda: server.held_body_bytes)
    meter.add_gauge("dropped_log_lines", lambda: log.dropped)


def make_metrics_handler(meter: Meter) -> Callable[[Request], Awaitable[Response]]:
    """Return a handler of requests for the metrics."""

    async def handle(request: Request) -> Response:
        if request.target != METRICS_PATH:
            return Response(status=404)
        content_type = ("content-type", "text/plain; version=0.0.4")
        return Response(status=200, headers=(content_type,), body=meter.render())

    return handle
