"""The composition root of an instance on the users' platform."""

import asyncio
import random
from collections.abc import Coroutine, Sequence
from typing import Any

from currantline.clock import Clock
from currantline.exceptions import AddressInUseError, ConfigurationError, PeerError
from currantline.fleet import (
    FleetTask,
    Follower,
    Member,
    MemberStatus,
    Roster,
    choose_hosts,
)
from currantline.placement import LatencyAverages, TargetRegistry
from currantline.platform import (
    CONFIGURATION_KEY,
    HEADERS,
    TARGET_PREFIX,
    InstanceSettings,
    StoreClient,
    decode_route_table,
    decode_target,
    make_directory_handler,
    make_readiness_handler,
)
from currantline.relay import (
    ConnectionPool,
    LoadProber,
    Relay,
    RelayServer,
    Sender,
    TargetSelector,
)
from currantline.replica import (
    Changes,
    PublicationReader,
    Record,
    Replica,
    decode_changes,
    encode_changes,
)
from currantline.routing import CallerLimits, RouteTable
from currantline.telemetry import EventLog, Meter
from currantline.wire import HttpClient, HttpServer, Request, Response, fetch

__all__ = ["Gateway"]

CHANGES_PATH = "/changes"
METRICS_PATH = "/metrics"

# Port of the metrics on the instance's address, as the deploy file states it.
METRICS_PORT = 9464

# Longest time to pull changes from another instance, in milliseconds.
PULL_TIMEOUT_MS = 1_000.0

# Time in seconds for which callers keep an address answer; an instance that dies is
# in their answers for this long.
DIRECTORY_TTL_S = 2.0

# Time between two sweeps of idle connections to targets, in milliseconds.
SWEEP_MS = 1_000.0

# A leaving instance takes requests for this part of the time until it is killed,
# because callers keep its address for a while. What comes later than half of it could
# not be finished.
LINGER_SHARE = 0.45

# Part of the time until it is killed in which a leaving instance must end.
LEAVE_SHARE = 0.85

# Time between two looks whether all requests have ended, in milliseconds.
LEAVE_LOOK_MS = 50.0


class Gateway:
    """One instance.

    Parameters
    ----------
    settings : InstanceSettings
        Its settings.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of all random choices.
    incarnation : int
        Wall-clock time of the start in milliseconds.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        *,
        clock: Clock,
        rng: random.Random,
        incarnation: int,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._log = log
        self._table: RouteTable | None = None
        self._is_leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._has_failed = asyncio.Event()
        self.meter = Meter()
        self.replica = Replica()
        self.targets = TargetRegistry()
        self._build_fleet(incarnation)
        self._build_relay()
        self._build_services()

    @property
    def table(self) -> RouteTable | None:
        """Routes in force, None until a configuration is known."""
        return self._table

    @property
    def is_ready(self) -> bool:
        """Whether callers should come."""
        return (
            self._table is not None and len(self.targets) > 0 and not self._is_leaving
        )

    async def start(self) -> None:
        """Listen on all addresses and start the tasks.

        Raises
        ------
        AddressInUseError
            If an address cannot be used.
        """
        settings = self._settings
        listeners: list[tuple[HttpServer | RelayServer, str]] = [
            (self._peers, f"{settings.host}:{settings.peer_port}"),
            (self._control, settings.control_address),
            (self._metrics, f"{settings.host}:{METRICS_PORT}"),
            (self._readiness, settings.readiness_address),
            (self._directory, settings.directory_address),
            (self._server, settings.caller_address),
        ]
        try:
            await self._fleet.start()
            for server, address in listeners:
                await server.start(address)
        except OSError as error:
            raise AddressInUseError(f"cannot listen: {error}") from error
        self._log.write("started", data_centre=settings.data_centre)
        for run in (
            self._reader.run,
            self._reader.drop_lapsed,
            self._fleet.run,
            self._follower.run,
            self._sweep,
        ):
            self._start_task(run())

    async def wait_for_failure(self) -> BaseException:
        """Wait until a task ends with an error and return the error."""
        await self._has_failed.wait()
        ended = [task for task in self._tasks if task.done() and not task.cancelled()]
        return next(error for task in ended if (error := task.exception()))

    async def leave(self) -> None:
        """Send callers elsewhere, finish all requests and stop."""
        begun_ms = self._clock.read()
        grace_ms = self._settings.grace_ms
        self._is_leaving = True
        self._log.write("leaving", busy=self._server.active_requests)
        self._server.start_draining()
        self._fleet.announce()
        await asyncio.sleep(LINGER_SHARE * grace_ms / 1000)
        self._server.stop_accepting()
        self._server.close_idle()
        while self._server.active_requests or self._relay.detached_sends:
            if self._clock.read() - begun_ms > LEAVE_SHARE * grace_ms:
                break
            await asyncio.sleep(LEAVE_LOOK_MS / 1000)
            self._server.close_idle()
        self._log.write("stopped", busy=self._server.active_requests)
        await self._stop()

    def reload(self, settings: InstanceSettings) -> None:
        """Use changed settings; addresses that are listened on stay."""
        self._log.write("reloaded", seeds=list(settings.seed_hosts))
        self._settings = settings

    def _build_fleet(self, incarnation: int) -> None:
        settings = self._settings
        own = Member(
            host=settings.host,
            data_centre=settings.data_centre,
            incarnation=incarnation,
        )
        self._roster = Roster(own, now=self._clock.read())
        self._store = StoreClient(HttpClient(settings.store_address))
        self._reader = PublicationReader(
            self._store,
            self.replica,
            is_reader=lambda: self._roster.is_reader(self._clock.read()),
            is_lookout=self._roster.is_lookout,
            publish=self._take_read,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
        )
        self._follower = Follower(
            self.replica,
            data_centre=settings.data_centre,
            pull=self._pull,
            take=self._take_pulled,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
        )
        self._fleet = FleetTask(
            self._roster,
            replica=self.replica,
            follower=self._follower,
            port=settings.peer_port,
            data_centres=settings.data_centres,
            list_seeds=lambda: self._settings.seed_hosts,
            refresh=self._refresh_own,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
        )

    def _build_relay(self) -> None:
        latencies = LatencyAverages()
        self._pool = ConnectionPool(clock=self._clock, meter=self.meter)
        prober = LoadProber(
            self._pool,
            names=HEADERS,
            clock=self._clock,
            meter=self.meter,
            log=self._log,
        )
        selector = TargetSelector(
            self.targets,
            prober=prober,
            latencies=latencies,
            data_centre=self._settings.data_centre,
            clock=self._clock,
            rng=self._rng,
        )
        sender = Sender(
            self._pool, names=HEADERS, latencies=latencies, clock=self._clock
        )
        self._relay = Relay(
            read_table=lambda: self._table,
            selector=selector,
            sender=sender,
            names=HEADERS,
            retry_options=self._settings.retry_options,
            count_instances=lambda: self._roster.size,
            clock=self._clock,
            rng=self._rng,
            meter=self.meter,
            log=self._log,
        )

    def _build_services(self) -> None:
        self._server = RelayServer(
            self._relay.handle, read_limits=self._read_limits, log=self._log
        )
        ttl_s = min(DIRECTORY_TTL_S, self._settings.directory_ttl_s)
        self._directory = HttpServer(
            make_directory_handler(self._find_addresses, ttl_s)
        )
        self._readiness = HttpServer(make_readiness_handler(lambda: self.is_ready))
        self._peers = HttpServer(self._answer_peer)
        self._control = HttpServer(self._answer_peer)
        self._metrics = HttpServer(self._answer_metrics)
        self.meter.add_gauge("targets", lambda: len(self.targets))
        self.meter.add_gauge("instances", lambda: self._count_live())
        self.meter.add_gauge("configuration_version", self._read_version)
        self.meter.add_gauge("replica_revision", lambda: self.replica.revision)
        self.meter.add_gauge("platform_calls", lambda: self._store.calls)
        self.meter.add_gauge("caller_connections", lambda: self._server.connections)
        self.meter.add_gauge("dropped_log_lines", lambda: self._log.dropped)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    def _note_end(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and task.exception() is not None:
            self._has_failed.set()

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (self._server, self._directory, self._readiness):
            await server.stop()
        for service in (self._peers, self._control, self._metrics):
            await service.stop()
        self._fleet.close()
        self._store.close()
        self._pool.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_MS / 1000)
            self._pool.close_stale(self.targets.list_addresses())
            self._log.flush()

    def _refresh_own(self) -> bool:
        status = MemberStatus.READY if self.is_ready else MemberStatus.STARTING
        return self._roster.update_own(
            status=MemberStatus.LEAVING if self._is_leaving else status,
            can_read=self._reader.can_read,
        )

    def _take_read(self, changed: Sequence[Record]) -> None:
        self._apply(changed)
        if changed:
            self._fleet.spread(is_origin=True)

    def _take_pulled(self, changes: Changes) -> None:
        changed = self.replica.merge(changes.records, changes.revision)
        self._apply(changed)
        if changed:
            self._fleet.spread(is_origin=False)

    def _apply(self, changed: Sequence[Record]) -> None:
        for record in changed:
            if record.key == CONFIGURATION_KEY:
                self._apply_configuration(record)
            elif record.key.startswith(TARGET_PREFIX):
                self._apply_target(record)

    def _apply_configuration(self, record: Record) -> None:
        if record.document is None:
            self._log.write("configuration_removed", revision=record.revision)
            return
        try:
            table = decode_route_table(record.document)
        except ConfigurationError as error:
            self._log.write("configuration_refused", reason=str(error))
            return
        if self._table is not None and table.version <= self._table.version:
            self._log.write("configuration_older", version=table.version)
            return
        self._log.write(
            "configuration_applied",
            version=table.version,
            previous=self._read_version(),
            revision=record.revision,
        )
        self._table = table

    def _apply_target(self, record: Record) -> None:
        name = record.key.removeprefix(TARGET_PREFIX)
        if record.document is None:
            self.targets.remove(name)
            self._log.write("target_gone", target=name, revision=record.revision)
            return
        try:
            entry = decode_target(record.key, record.document)
        except ConfigurationError as error:
            self._log.write("target_refused", target=name, reason=str(error))
            self.targets.remove(name)
            return
        known = self.targets.find(name)
        self.targets.update(entry, self._clock.read())
        if known is None or known.published.is_draining != entry.is_draining:
            self._log.write(
                "target_draining" if entry.is_draining else "target_ready",
                target=name,
                service=entry.service,
                revision=record.revision,
            )

    def _find_addresses(self, data_centre: str) -> list[str]:
        ready = self._roster.list_ready()
        if self.is_ready:
            ready.append(self._roster.own)
        port = self._settings.caller_address.rpartition(":")[2]
        hosts = choose_hosts(ready, data_centre, self._rng)
        return [f"{host}:{port}" for host in hosts]

    async def _pull(self, host: str, after: int) -> Changes:
        request = Request(method="GET", target=f"{CHANGES_PATH}?after={after}")
        address = f"{host}:{self._settings.peer_port}"
        answer = await fetch(address, request, timeout_ms=PULL_TIMEOUT_MS)
        if answer.status != 200:
            raise PeerError(f"{host} answers {answer.status}")
        return decode_changes(answer.body)

    async def _answer_peer(self, request: Request) -> Response:
        path, _, query = request.target.partition("?")
        after = query.removeprefix("after=")
        if path != CHANGES_PATH or not after.isdecimal():
            return Response(status=404)
        return Response(
            status=200, body=encode_changes(self.replica.list_changes(int(after)))
        )

    async def _answer_metrics(self, request: Request) -> Response:
        if request.target != METRICS_PATH:
            return Response(status=404)
        content_type = ("content-type", "text/plain; version=0.0.4")
        return Response(status=200, headers=(content_type,), body=self.meter.render())

    def _read_limits(self) -> CallerLimits:
        return self._table.limits if self._table is not None else CallerLimits()

    def _read_version(self) -> int:
        return self._table.version if self._table is not None else 0

    def _count_live(self) -> int:
        return len(self._roster.list_live()) + 1
