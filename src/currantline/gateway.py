"""Composition root of an instance on the users' platform."""

import asyncio
import random
from collections.abc import Sequence

import attrs

from currantline.background_tasks import BackgroundTasks
from currantline.change_exchange import ChangeExchange
from currantline.clock import Clock
from currantline.exceptions import AddressInUseError
from currantline.fleet import (
    Member,
    MembershipList,
    MembershipProtocol,
    MemberStatus,
    ReplicaPuller,
    choose_hosts,
    find_weight,
)
from currantline.instance_metrics import (
    METRICS_PORT,
    add_instance_gauges,
    make_metrics_handler,
)
from currantline.placement import TargetRegistry
from currantline.platform import (
    HEADERS,
    InstanceSettings,
    StoreClient,
    find_era_start,
    make_directory_handler,
    make_readiness_handler,
)
from currantline.ports import Ports
from currantline.published_state import PublishedState
from currantline.relay import RelayServer, find_max_bytes_held, find_max_idle
from currantline.relay_assembly import assemble_relay
from currantline.replica import Changes, PlatformReader, Record, Replica
from currantline.routing import RouteTable
from currantline.telemetry import EventLog, Meter
from currantline.wire import HttpClient, HttpServer

__all__ = ["Gateway"]

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
# are still in progress.
DRAIN_FRACTION = 0.85

# Fraction of the grace period after which it stops although callers are still reading
# their responses.
DELIVERY_FRACTION = 0.95

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
        self._tasks = BackgroundTasks()
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
            self._tasks.start(run())

    async def wait_for_failure(self) -> BaseException:
        """Wait until a background task fails and return its exception."""
        return await self._tasks.wait_for_failure()

    async def leave(self) -> None:
        """Direct callers to other instances, complete requests in flight and stop.

        A request is complete when its caller has taken the whole response.
        """
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
        await self._deliver_responses(started_ms + DELIVERY_FRACTION * grace_ms)
        self._log.write(
            "stopped",
            busy=self._server.active_requests,
            cut=self._server.undelivered_responses,
        )
        await self._stop()

    async def _complete_requests(self, end_ms: float) -> None:
        while self._server.active_requests or self._relay.detached_sends:
            if self._clock.read() > end_ms:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
            self._server.close_idle()

    async def _deliver_responses(self, end_ms: float) -> None:
        while self._server.undelivered_responses and self._clock.read() < end_ms:
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
        self._store = StoreClient(
            HttpClient(settings.store_address, body_memory=self._ports.published_state)
        )
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
        self._exchange = ChangeExchange(
            self.replica,
            port=settings.peer_port,
            body_memory=self._ports.published_state,
        )
        self._replica_puller = ReplicaPuller(
            self.replica,
            data_centre=settings.data_centre,
            pull=self._exchange.pull,
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
        assembly = assemble_relay(
            self._settings,
            targets=self.targets,
            membership=self._membership,
            ports=self._ports,
            read_table=lambda: self.table,
            hedge_limit=hedge_limit,
            clock=self._clock,
            rng=self._rng,
            meter=self.meter,
            log=self._log,
        )
        self._relay = assembly.relay
        self._selector = assembly.selector
        self._permits = assembly.permits
        self._pool = assembly.pool

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
        self._peers = ports.make_server(self._exchange.handle, ports.peers)
        self._control = ports.make_server(self._exchange.handle, ports.control)
        self._metrics = ports.make_server(
            make_metrics_handler(self.meter), ports.metrics
        )
        add_instance_gauges(
            self.meter,
            targets=self.targets,
            published=self._published,
            replica=self.replica,
            store=self._store,
            server=self._server,
            count_instances=self._count_live,
            clock=self._clock,
            log=self._log,
        )

    async def _stop(self) -> None:
        await self._tasks.stop()
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

    def _find_addresses(self, data_centre: str) -> list[str]:
        ready = self._membership.list_ready()
        if self.is_ready:
            ready.append(self._membership.local_member)
        port = self._settings.caller_address.rpartition(":")[2]
        # Only large bodies fill the thin links of small machines.
        uses_weights = self._published.has_uploads
        hosts = choose_hosts(ready, data_centre, self._rng, uses_weights=uses_weights)
        return [f"{host}:{port}" for host in hosts]

    def _count_live(self) -> int:
        return len(self._membership.list_live()) + 1
