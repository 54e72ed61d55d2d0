"""Composition root of an instance on the users' platform."""

import asyncio
import random
import re
from collections.abc import Coroutine, Sequence
from typing import Any

import attrs

from currantline.clock import Clock
from currantline.exceptions import AddressInUseError, PeerError
from currantline.fleet import (
    Member,
    MembershipList,
    MembershipProtocol,
    MemberStatus,
    ReplicaPuller,
    choose_hosts,
    find_weight,
)
from currantline.hedging import HedgePolicy
from currantline.permits import PermitProtocol
from currantline.placement import (
    LatencyAverages,
    ProbeLimit,
    TargetRegistry,
)
from currantline.platform import (
    HEADERS,
    REVISION_PATTERN,
    InstanceSettings,
    StoreClient,
    find_era,
    find_era_start,
    find_number,
    make_directory_handler,
    make_readiness_handler,
)
from currantline.ports import Ports
from currantline.published_state import PublishedState
from currantline.relay import (
    AvailabilityReader,
    ColdTargetSelector,
    ConnectionPool,
    Hedger,
    LimitedTargetSelector,
    LoadProber,
    RateLimitReader,
    Relay,
    RelayServer,
    RepeatLimiter,
    Sender,
    TargetSelector,
    WarmupReader,
    find_max_bytes_held,
    find_max_idle,
)
from currantline.replica import (
    Changes,
    PlatformReader,
    Record,
    Replica,
    decode_changes,
    encode_changes,
)
from currantline.routing import RouteTable
from currantline.telemetry import EventLog, Meter
from currantline.wire import (
    HttpClient,
    HttpServer,
    Request,
    Response,
    fetch,
    find_header,
)

__all__ = ["Gateway"]

CHANGES_PATH = "/changes"
POSITION_PATTERN = re.compile(r"[0-9]{1,20}")
HISTORY_HEADER = "currantline-history-revision"
METRICS_PATH = "/metrics"

# Port of the metrics endpoint; the deploy file states the same port.
METRICS_PORT = 9464

# Timeout for a pull of changes from another instance.
PULL_TIMEOUT_MS = 1_000.0

# Maximum TTL of directory responses; callers may connect to a dead instance for this
# long.
DIRECTORY_TTL_S = 2.0

# Interval between sweeps of idle connections to targets.
SWEEP_INTERVAL_MS = 1_000.0

# Fraction of the grace period during which a leaving instance still accepts requests,
# because callers cache its address. Requests that arrive after half of the grace period
# could not be completed.
DRAIN_ACCEPT_FRACTION = 0.45

# Fraction of the grace period after which a leaving instance answers the requests that
# are still in progress, and stops.
DRAIN_FRACTION = 0.85

# Interval between checks whether all requests have completed.
DRAIN_POLL_INTERVAL_MS = 50.0


class Gateway:
    """Instance of the load balancer.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness for all components.
    incarnation : int
        Wall-clock time of the start in milliseconds since the epoch.
    log : EventLog
        Log of events.
    hedge_limit : float or None
        Hedges per request of a service that the operators allow, None without a limit.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        *,
        clock: Clock,
        rng: random.Random,
        incarnation: int,
        log: EventLog,
        hedge_limit: float | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._log = log
        self._is_leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._has_failed = asyncio.Event()
        self.meter = Meter()
        self.replica = Replica(find_era_start=find_era_start)
        self.targets = TargetRegistry()
        self._ports = Ports(
            memory_bytes=settings.memory_bytes,
            max_descriptors=settings.max_descriptors,
            clock=clock,
            meter=self.meter,
            log=log,
        )
        self._published = PublishedState(
            self.targets,
            data_centres=settings.data_centres,
            on_evacuation=self._handle_evacuation,
            warmup_terms=settings.warmup_terms,
            clock=clock,
            log=log,
        )
        self._build_membership(incarnation)
        self._build_relay(hedge_limit)
        self._build_services()

    @property
    def table(self) -> RouteTable | None:
        """Route table in force, None until a configuration is known."""
        return self._published.table

    @property
    def is_ready(self) -> bool:
        """Whether callers should connect to this instance."""
        return self.table is not None and len(self.targets) > 0 and not self._is_leaving

    async def start(self) -> None:
        """Listen on all addresses and start the background tasks.

        Raises
        ------
        AddressInUseError
            If an address cannot be bound.
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
            await self._membership_protocol.start()
            await self._permits.start()
            for server, address in listeners:
                await server.start(address)
        except OSError as error:
            raise AddressInUseError(f"cannot listen: {error}") from error
        self._log.write("started", data_centre=settings.data_centre)
        self._log_refused_seeds(settings)
        for run in (
            self._reader.run,
            self._reader.run_deferred_removals,
            self._membership_protocol.run,
            self._replica_puller.run,
            self._sweep,
        ):
            self._start_task(run())

    async def wait_for_failure(self) -> BaseException:
        """Wait until a background task fails and return its exception."""
        await self._has_failed.wait()
        ended = [task for task in self._tasks if task.done() and not task.cancelled()]
        return next(error for task in ended if (error := task.exception()))

    async def leave(self) -> None:
        """Direct callers to other instances, complete requests in flight and stop."""
        started_ms = self._clock.read()
        grace_ms = self._settings.grace_ms
        self._is_leaving = True
        self._log.write("leaving", busy=self._server.active_requests)
        self._server.start_draining()
        self._relay.start_draining(started_ms + DRAIN_FRACTION * grace_ms)
        self._membership_protocol.notify_member_change()
        await asyncio.sleep(DRAIN_ACCEPT_FRACTION * grace_ms / 1000)
        self._server.stop_accepting()
        self._server.close_idle()
        await self._complete_requests(started_ms + DRAIN_FRACTION * grace_ms)
        if self._server.active_requests:
            self._relay.end_waiting()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
        self._log.write("stopped", busy=self._server.active_requests)
        await self._stop()

    async def _complete_requests(self, end_ms: float) -> None:
        while self._server.active_requests or self._relay.detached_sends:
            if self._clock.read() > end_ms:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
            self._server.close_idle()

    def reload(self, settings: InstanceSettings) -> None:
        """Apply changed seeds and a changed grace period.

        The other settings, such as the ports of the fleet, need a restart.
        """
        self._log.write("reloaded", seeds=list(settings.seed_hosts))
        self._log_refused_seeds(settings)
        self._settings = attrs.evolve(
            self._settings, seed_hosts=settings.seed_hosts, grace_ms=settings.grace_ms
        )

    def _log_refused_seeds(self, settings: InstanceSettings) -> None:
        if settings.refused_seeds:
            self._log.write("seeds_refused", seeds=list(settings.refused_seeds))

    def _build_membership(self, incarnation: int) -> None:
        settings = self._settings
        local_member = Member(
            host=settings.host,
            data_centre=settings.data_centre,
            incarnation=incarnation,
            weight=find_weight(settings.cores, settings.link_bytes_per_s),
        )
        self._membership = MembershipList(local_member, now=self._clock.read())
        self._store = StoreClient(HttpClient(settings.store_address))
        self._reader = PlatformReader(
            self._store,
            self.replica,
            is_reader=lambda: self._membership.is_reader(self._clock.read()),
            uses_short_watches=self._membership.uses_short_watches,
            on_change=self._apply_read_records,
            recovery_ms=settings.store_recovery_ms,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
        )
        self._replica_puller = ReplicaPuller(
            self.replica,
            data_centre=settings.data_centre,
            pull=self._pull,
            apply_changes=self._apply_pulled_changes,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
        )
        self._membership_protocol = MembershipProtocol(
            self._membership,
            replica=self.replica,
            replica_puller=self._replica_puller,
            port=settings.peer_port,
            data_centres=settings.data_centres,
            list_seeds=lambda: self._settings.seed_hosts,
            refresh=self._refresh_local_member,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
        )

    def _build_relay(self, hedge_limit: float | None) -> None:
        latencies = LatencyAverages()
        self._pool = ConnectionPool(
            clock=self._clock,
            meter=self.meter,
            max_response_bytes=self._ports.account.max_bytes // 2,
            count_response_bytes=self._ports.count_response_bytes,
        )
        self._permits = PermitProtocol(
            self.targets,
            host=self._settings.host,
            port=self._settings.permit_port,
            list_issuers=self._list_permit_issuers,
            list_instances=lambda: [m.host for m in self._membership.list_live()],
            list_known=self._membership.list_known,
            is_alive=self._membership.is_alive,
            clock=self._clock,
            meter=self.meter,
            log=self._log,
        )
        limit_reader = RateLimitReader(
            names=HEADERS, observe=self._permits.observe, log=self._log
        )
        availability_reader = AvailabilityReader(
            names=HEADERS, clock=self._clock, rng=self._rng, log=self._log
        )
        prober = LoadProber(
            self._pool,
            names=HEADERS,
            limit_reader=limit_reader,
            availability_reader=availability_reader,
            warmup_reader=WarmupReader(
                names=HEADERS, observe=self._permits.observe_warmup, log=self._log
            ),
            clock=self._clock,
            meter=self.meter,
            log=self._log,
        )
        self._selector = TargetSelector(
            self.targets,
            prober=prober,
            latencies=latencies,
            probe_limit=ProbeLimit(self._settings.max_probes_per_s),
            limited_targets=LimitedTargetSelector(
                permits=self._permits,
                latencies=latencies,
                clock=self._clock,
                rng=self._rng,
            ),
            cold_targets=ColdTargetSelector(
                self.targets,
                permits=self._permits,
                prober=prober,
                latencies=latencies,
                clock=self._clock,
                rng=self._rng,
            ),
            count_instances=lambda: len(self._membership.list_live()) + 1,
            data_centre=self._settings.data_centre,
            get_weight=self._find_relative_weight,
            clock=self._clock,
            rng=self._rng,
        )
        sender = Sender(
            self._pool,
            names=HEADERS,
            limit_reader=limit_reader,
            availability_reader=availability_reader,
            latencies=latencies,
            clock=self._clock,
            meter=self.meter,
            log=self._log,
        )
        retry_options = self._settings.retry_options
        repeats = RepeatLimiter(
            retry_options,
            count_instances=lambda: self._membership.peak_size,
            clock=self._clock,
            meter=self.meter,
        )
        policy: HedgePolicy | None = None
        if hedge_limit is not None:
            policy = HedgePolicy(hedge_limit, retry_options.window_ms)
        hedger = Hedger(
            policy,
            targets=self.targets,
            selector=self._selector,
            repeats=repeats,
            clock=self._clock,
            meter=self.meter,
        )
        self._relay = Relay(
            read_table=lambda: self.table,
            selector=self._selector,
            sender=sender,
            repeats=repeats,
            hedger=hedger,
            names=HEADERS,
            clock=self._clock,
            rng=self._rng,
            meter=self.meter,
            log=self._log,
        )

    def _build_services(self) -> None:
        self._server = RelayServer(
            self._relay.handle,
            is_idempotent=self._relay.is_idempotent,
            names=HEADERS,
            read_limits=lambda: self._published.limits,
            clock=self._clock,
            log=self._log,
            max_body_bytes_held=find_max_bytes_held(self._settings.memory_bytes),
            port=self._ports.callers,
        )
        ttl_s = min(DIRECTORY_TTL_S, self._settings.directory_ttl_s)
        resolve = make_directory_handler(self._find_addresses, ttl_s)
        check_readiness = make_readiness_handler(lambda: self.is_ready)
        ports = self._ports
        self._directory = ports.make_server(resolve, ports.directory)
        self._readiness = ports.make_server(check_readiness, ports.readiness)
        self._peers = ports.make_server(self._handle_peer_request, ports.peers)
        self._control = ports.make_server(self._handle_peer_request, ports.control)
        self._metrics = ports.make_server(self._handle_metrics_request, ports.metrics)
        self.meter.add_gauge("targets", lambda: len(self.targets))
        self.meter.add_gauge("rate_limited_targets", self.targets.count_rate_limited)
        self.meter.add_gauge("evacuated_targets", self.targets.count_evacuated)
        self.meter.add_gauge("cold_targets", self._count_cold)
        self.meter.add_gauge("instances", self._count_live)
        self.meter.add_gauge("configuration_version", lambda: self._published.version)
        self.meter.add_gauge(
            "routes_of_unknown_kind", lambda: self._published.unknown_kinds
        )
        self.meter.add_gauge(
            "replica_revision", lambda: find_number(self.replica.revision)
        )
        self.meter.add_gauge("store_era", lambda: find_era(self.replica.revision))
        self.meter.add_gauge("platform_calls", lambda: self._store.calls)
        self.meter.add_gauge("caller_connections", lambda: self._server.connections)
        self.meter.add_gauge("held_body_bytes", lambda: self._server.held_body_bytes)
        self.meter.add_gauge("dropped_log_lines", lambda: self._log.dropped)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
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
        self._membership_protocol.close()
        self._permits.close()
        self._store.close()
        self._pool.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / 1000)
            self._pool.max_idle_per_target = find_max_idle(
                self._published.max_connections, self._count_live()
            )
            self._pool.close_stale(self.targets.list_connectable_addresses())
            for target in self.targets.take_warmed(self._clock.read()):
                self._log.write("target_warm", target=target.name)
            self._ports.abort_stalled()
            self._log.flush()

    def _refresh_local_member(self) -> bool:
        status = MemberStatus.READY if self.is_ready else MemberStatus.STARTING
        return self._membership.update_local_member(
            status=MemberStatus.LEAVING if self._is_leaving else status,
            can_reach_platform=self._reader.can_reach_platform,
        )

    def _handle_evacuation(self) -> None:
        self._pool.close_stale(self.targets.list_connectable_addresses())
        self._selector.notify_evacuation()

    def _apply_read_records(self, changed: Sequence[Record]) -> None:
        self._published.apply(changed)
        if changed:
            self._membership_protocol.notify_replica_change(is_from_platform=True)

    def _apply_pulled_changes(self, changes: Changes) -> None:
        self._reader.observe_revision(changes.revision)
        changed = self.replica.apply_changes(
            changes, defer_removals_until=self._reader.find_grace_deadline()
        )
        self._published.apply(changed)
        if changed:
            self._membership_protocol.notify_replica_change(is_from_platform=False)

    def _list_permit_issuers(self) -> list[str]:
        members = [*self._membership.list_live(), self._membership.local_member]
        ready = [m.host for m in members if m.status is MemberStatus.READY]
        return ready or [self._settings.host]

    def _find_addresses(self, data_centre: str) -> list[str]:
        ready = self._membership.list_ready()
        if self.is_ready:
            ready.append(self._membership.local_member)
        port = self._settings.caller_address.rpartition(":")[2]
        hosts = choose_hosts(ready, data_centre, self._rng)
        return [f"{host}:{port}" for host in hosts]

    async def _pull(self, host: str, after: int) -> Changes:
        request = Request(method="GET", target=f"{CHANGES_PATH}?after={after}")
        address = f"{host}:{self._settings.peer_port}"
        response = await fetch(address, request, timeout_ms=PULL_TIMEOUT_MS)
        if response.status != 200:
            raise PeerError(f"{host} answered with status {response.status}")
        history = find_header(response.headers, HISTORY_HEADER) or "0"
        if not REVISION_PATTERN.fullmatch(history):
            raise PeerError(f"{host} answered with history {history!r}")
        return decode_changes(response.body, after=after, history_revision=int(history))

    async def _handle_peer_request(self, request: Request) -> Response:
        path, _, query = request.target.partition("?")
        after = query.removeprefix("after=")
        if path != CHANGES_PATH or not POSITION_PATTERN.fullmatch(after):
            return Response(status=404)
        changes = self.replica.list_changes(int(after))
        history = (HISTORY_HEADER, str(changes.history_revision))
        return Response(status=200, headers=(history,), body=encode_changes(changes))

    async def _handle_metrics_request(self, request: Request) -> Response:
        if request.target != METRICS_PATH:
            return Response(status=404)
        content_type = ("content-type", "text/plain; version=0.0.4")
        return Response(status=200, headers=(content_type,), body=self.meter.render())

    def _count_cold(self) -> int:
        return self.targets.count_cold(self._clock.read())

    def _find_relative_weight(self) -> int:
        weights = [member.weight for member in self._membership.list_live()]
        local = self._membership.local_member.weight
        return local // min([*weights, local])

    def _count_live(self) -> int:
        return len(self._membership.list_live()) + 1
