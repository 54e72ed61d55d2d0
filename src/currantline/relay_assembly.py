"""Assembly of the relay and of the parts that serve it."""

import random
from collections.abc import Callable

import attrs

from currantline.clock import Clock
from currantline.fleet import MembershipList, MemberStatus
from currantline.hedging import HedgePolicy
from currantline.permits import PermitProtocol
from currantline.placement import LatencyAverages, ProbeLimit, TargetRegistry
from currantline.platform import HEADERS, InstanceSettings
from currantline.ports import Ports
from currantline.relay import (
    AvailabilityReader,
    ColdTargetSelector,
    ConnectionPool,
    Hedger,
    LimitedTargetSelector,
    LoadProber,
    RateLimitReader,
    Relay,
    RepeatLimiter,
    Sender,
    TargetSelector,
    WarmupReader,
)
from currantline.routing import RouteTable
from currantline.telemetry import EventLog, Meter

__all__ = ["RelayAssembly", "assemble_relay"]


@attrs.frozen
class RelayAssembly:
    """The relay and the parts that the instance starts, notifies and closes.

    Attributes
    ----------
    relay : Relay
        Forwards requests.
    selector : TargetSelector
        Selects targets.
    permits : PermitProtocol
        Permits for targets that limit their requests.
    pool : ConnectionPool
        Connections to targets.
    """

    relay: Relay
    selector: TargetSelector
    permits: PermitProtocol
    pool: ConnectionPool


def assemble_relay(
    settings: InstanceSettings,
    *,
    targets: TargetRegistry,
    membership: MembershipList,
    ports: Ports,
    read_table: Callable[[], RouteTable | None],
    hedge_limit: float | None,
    clock: Clock,
    rng: random.Random,
    meter: Meter,
    log: EventLog,
) -> RelayAssembly:
    """Return a relay with its parts.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    targets : TargetRegistry
        Known targets.
    membership : MembershipList
        Members of the fleet.
    ports : Ports
        Ports of the instance, whose memory account the responses of targets draw on.
    read_table : callable
        Returns the routes in force, or None.
    hedge_limit : float or None
        Hedges per request of a service that the operators allow, None without a limit.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    meter : Meter
        Counts requests.
    log : EventLog
        Log of events.
    """
    latencies = LatencyAverages()
    pool = ConnectionPool(
        clock=clock,
        meter=meter,
        max_response_bytes=ports.account.max_bytes // 2,
        count_response_bytes=ports.count_response_bytes,
    )
    permits = PermitProtocol(
        targets,
        host=settings.host,
        port=settings.permit_port,
        list_issuers=lambda: _list_permit_issuers(membership, settings.host),
        list_instances=lambda: [m.host for m in membership.list_live()],
        list_known=membership.list_known,
        is_alive=membership.is_alive,
        clock=clock,
        meter=meter,
        log=log,
    )
    limit_reader = RateLimitReader(names=HEADERS, observe=permits.observe, log=log)
    availability_reader = AvailabilityReader(
        names=HEADERS, clock=clock, rng=rng, log=log
    )
    prober = LoadProber(
        pool,
        names=HEADERS,
        limit_reader=limit_reader,
        availability_reader=availability_reader,
        warmup_reader=WarmupReader(
            names=HEADERS, observe=permits.observe_warmup, log=log
        ),
        clock=clock,
        meter=meter,
        log=log,
    )
    selector = TargetSelector(
        targets,
        prober=prober,
        latencies=latencies,
        probe_limit=ProbeLimit(settings.max_probes_per_s),
        limited_targets=LimitedTargetSelector(
            permits=permits,
            latencies=latencies,
            clock=clock,
            rng=rng,
        ),
        cold_targets=ColdTargetSelector(
            targets,
            permits=permits,
            prober=prober,
            latencies=latencies,
            clock=clock,
            rng=rng,
        ),
        count_instances=lambda: len(membership.list_live()) + 1,
        data_centre=settings.data_centre,
        get_weight=lambda: _find_relative_weight(membership, read_table()),
        clock=clock,
        rng=rng,
    )
    sender = Sender(
        pool,
        names=HEADERS,
        limit_reader=limit_reader,
        availability_reader=availability_reader,
        latencies=latencies,
        clock=clock,
        meter=meter,
        log=log,
    )
    retry_options = settings.retry_options
    repeats = RepeatLimiter(
        retry_options,
        count_instances=lambda: membership.peak_size,
        clock=clock,
        meter=meter,
    )
    policy: HedgePolicy | None = None
    if hedge_limit is not None:
        policy = HedgePolicy(hedge_limit, retry_options.window_ms)
    hedger = Hedger(
        policy,
        targets=targets,
        selector=selector,
        repeats=repeats,
        clock=clock,
        meter=meter,
    )
    relay = Relay(
        read_table=read_table,
        selector=selector,
        sender=sender,
        repeats=repeats,
        hedger=hedger,
        names=HEADERS,
        clock=clock,
        rng=rng,
        meter=meter,
        log=log,
    )
    return RelayAssembly(relay, selector, permits, pool)


def _list_permit_issuers(membership: MembershipList, host: str) -> list[str]:
    members = [*membership.list_live(), membership.local_member]
    ready = [m.host for m in members if m.status is MemberStatus.READY]
    return ready or [host]


def _find_relative_weight(membership: MembershipList, table: RouteTable | None) -> int:
    if table is None or not table.has_uploads:
        return 1
    weights = [member.weight for member in membership.list_live()]
    local = membership.local_member.weight
    return local // min([*weights, local])
