"""The composition root: builds and wires the parts of one instance."""

import asyncio
import random
from collections.abc import Awaitable, Coroutine, Iterable, Mapping
from typing import Any, Protocol

from currantline.audit import AuditTrail
from currantline.clock import Clock
from currantline.configuration import (
    Configuration,
    ConfigurationUpdater,
    History,
    HttpRecordService,
    RecordFetcher,
    RecordReader,
    select_readers,
)
from currantline.control import (
    DrainNotifier,
    EventRecorder,
    EvidenceRequester,
    EvidenceSources,
    LimitUpdater,
    MetricsUpdater,
    OwnedTargets,
    PeerRequestHandler,
    ReadyGate,
    list_services_without_evidence,
    render_counts,
    render_event,
    render_view,
)
from currantline.directory import (
    AddressResponse,
    OwnershipTable,
    build_address_response,
)
from currantline.dispatch import Dispatcher, DispatchTask, RetryBudgets
from currantline.exceptions import (
    AddressInUseError,
    InvariantError,
    UnknownServiceError,
)
from currantline.forwarding import (
    CallerOptions,
    CallerServer,
    ForwarderOptions,
    InstanceCallbacks,
    RequestForwarder,
)
from currantline.load import (
    ProbeBudget,
    Prober,
    ShareRights,
    TargetTracker,
)
from currantline.membership import (
    Contact,
    InstanceEntry,
    ListReader,
    MembershipTask,
    PublishedList,
    Status,
    View,
    ViewChanged,
    combine_digest,
)
from currantline.operator import Metrics, OperatorService, OperatorSources, Readiness
from currantline.peer import Outbox, PeerClient, PeerServer
from currantline.settings import Settings

__all__ = ["Instance"]

READERS_PER_DATA_CENTRE = 2
EMPTY = Configuration(version=0)


class _Server(Protocol):
    def start(self, address: str) -> Awaitable[None]: ...


class Instance:
    """One instance of currantline.

    Parameters
    ----------
    settings : Settings
        Its settings.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of all random choices.
    incarnation : int
        Wall-clock time of the start in milliseconds.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock,
        rng: random.Random,
        incarnation: int,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._is_leaving = False
        self._may_own = False
        self._tasks: list[asyncio.Task[None]] = []
        self._has_failed = asyncio.Event()
        self.trail = AuditTrail()
        self._events = EventRecorder(self.trail, clock=clock, started_ms=incarnation)
        self._build_configuration()
        self._build_membership(incarnation)
        self._build_load()
        self._build_dispatch()
        self._build_metrics()
        self._build_forwarding()
        self._build_operator()

    @property
    def configuration(self) -> Configuration:
        """Configuration in force, empty before the first."""
        return self.history.in_force or EMPTY

    @property
    def view(self) -> View:
        """Live instances now."""
        return self._membership.table.view(self._clock.read())

    @property
    def is_ready(self) -> bool:
        """Whether the instance has joined and has evidence for its targets."""
        return self._read_readiness().is_ready

    def list_owners(self, service: str) -> tuple[str, ...]:
        """Return the owners of a service in this instance's view."""
        return self._owners.find(service).owners

    @property
    def failures(self) -> list[BaseException]:
        """Errors that ended a task, none while the instance works."""
        ended = [task for task in self._tasks if task.done() and not task.cancelled()]
        return [error for task in ended if (error := task.exception()) is not None]

    async def wait_for_failure(self) -> BaseException:
        """Wait until a task ends with an error and return the error."""
        await self._has_failed.wait()
        return self.failures[0]

    async def start(self) -> None:
        """Listen on all addresses and start the tasks.

        Raises
        ------
        AddressInUseError
            If an address cannot be used.
        """
        await self._listen("operator_address", self._operators)
        await self._listen("peer_address", self._peer_server)
        await self._listen("caller_address", self._callers)
        self.dispatch.start()
        for run in (
            self._follow_view,
            self._membership.run,
            self._list_reader.run,
            self._record_fetcher.run,
            self.prober.run,
            self._evidence_requester.run,
            self._limits.run,
        ):
            self._start_task(run())

    async def leave(self) -> None:
        """Stop being named in answers, finish open requests and stop."""
        self._is_leaving = True
        self._events.record("this instance leaves")
        self._membership.leave()
        await self._callers.leave(self._settings.leave_timeout_ms)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.dispatch.stop()
        await self._reader.stop()
        await self._outbox.stop()
        await self._peer_server.stop()
        await self._operators.stop()
        self._client.close()
        self._forwarder.close()

    def _build_configuration(self) -> None:
        self.history = History()
        self._updater = ConfigurationUpdater(
            self.history,
            clock=self._clock,
            on_verdict=self._events.record_verdict,
            on_change=self._take_configuration,
            on_progress=self._tell_progress,
        )
        self._reader = RecordReader(
            HttpRecordService(address=self._settings.platform_address),
            read_sequence=lambda: self._updater.sequence,
            on_records=self._updater.apply_published,
            clock=self._clock,
            rng=self._rng,
        )
        self._record_fetcher = RecordFetcher(
            self._updater, find_source=self._find_source, fetch=self._fetch_records
        )

    def _build_membership(self, incarnation: int) -> None:
        settings = self._settings
        self._client = PeerClient(clock=self._clock, rng=self._rng)
        entry = InstanceEntry(
            name=settings.name,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
            incarnation=incarnation,
        )
        self._membership = MembershipTask(
            entry,
            transport=self._client,
            clock=self._clock,
            rng=self._rng,
            seeds=[
                Contact(name=seed.name, peer_address=seed.peer_address)
                for seed in settings.seeds
            ],
        )
        self._list_reader = ListReader(
            settings.platform_address,
            clock=self._clock,
            rng=self._rng,
            publish=self._take_list,
        )
        self._owners = OwnershipTable()

    def _build_load(self) -> None:
        self.target_tracker = TargetTracker(self._rng)
        self.budget = ProbeBudget()
        self._shares = ShareRights(self._settings.name)
        self._plan = OwnedTargets(
            name=self._settings.name,
            owners=self._owners,
            holds_majority=self._membership.holds_lease,
            read_digest=lambda: self._membership.lease.digest,
            shares=self._shares,
        )
        self._sources = EvidenceSources(
            self._settings.name, self._owners, self._shares.find_holder
        )
        self.prober = Prober(
            target_tracker=self.target_tracker,
            budget=self.budget,
            plan=self._plan,
            clock=self._clock,
            on_probe_end=self._note_probe,
        )

    def _build_dispatch(self) -> None:
        self._outbox = Outbox(
            self._settings.name,
            find_address=self._find_peer_address,
            deliver=self._client.deliver,
        )
        self.dispatch = DispatchTask(
            Dispatcher(self._settings.name, self._rng),
            clock=self._clock,
            send=self._outbox.add,
            on_pause=self._forget_evidence,
        )
        self._drain_notifier = DrainNotifier(
            self.target_tracker,
            clock=self._clock,
            list_peers=self._list_peers,
            send=self._outbox.add_notices,
        )
        self._limits = LimitUpdater(
            self.target_tracker,
            clock=self._clock,
            set_limit=self.dispatch.set_limit,
            on_drain=self._drain_notifier.notify,
        )
        self._evidence_requester = EvidenceRequester(
            self._settings.name,
            plan=self._plan,
            sources=self._sources,
            target_tracker=self.target_tracker,
            find_address=self._find_peer_address,
            deliver=self._client.deliver,
            list_starved=self.dispatch.list_starved,
            on_response=self._limits.refresh,
            clock=self._clock,
        )
        handler = PeerRequestHandler(
            membership=self._membership,
            history=self.history,
            target_tracker=self.target_tracker,
            asked=self._plan.asked,
            receive=self.dispatch.receive,
            clock=self._clock,
        )
        self._peer_server = PeerServer(handler)

    def _build_forwarding(self) -> None:
        self._retries = RetryBudgets()
        self._forwarder = RequestForwarder(
            ReadyGate(self.dispatch, self._accepts_requests),
            clock=self._clock,
            options=ForwarderOptions(max_body_bytes=self._settings.max_body_bytes),
            find_budget=self._retries.find,
            observer=self._limits,
        )
        self._callers = CallerServer(
            self._settings.name,
            forwarder=self._forwarder,
            callbacks=InstanceCallbacks(
                read_configuration=lambda: self.configuration,
                find_addresses=self._find_addresses,
                needs_refresh=self._needs_refresh,
                is_leaving=lambda: self._is_leaving,
            ),
            clock=self._clock,
            options=CallerOptions(max_body_bytes=self._settings.max_body_bytes),
            observer=self._metrics_updater,
        )

    def _build_metrics(self) -> None:
        self.metrics = Metrics(self._settings.data_centre)
        self._metrics_updater = MetricsUpdater(
            self.metrics,
            target_tracker=self.target_tracker,
            budget=self.budget,
            plan=self._plan,
            clock=self._clock,
            read_counts=self.dispatch.counts,
            count_violations=self._count_violations,
        )

    def _build_operator(self) -> None:
        self._operators = OperatorService(
            OperatorSources(
                instance=self._settings.name,
                read_readiness=self._read_readiness,
                read_version=lambda: self.configuration.version,
                read_sequence=lambda: self._updater.sequence,
                read_queues=lambda: render_counts(self.dispatch.counts()),
                read_targets=lambda: self.target_tracker.describe(self._clock.read()),
                read_view=lambda: render_view(self.view),
                read_lease=lambda: {"held": self._membership.holds_lease()},
                read_audit=self._read_audit,
                refresh=self._metrics_updater.refresh,
            ),
            self.metrics,
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    def _note_end(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and task.exception() is not None:
            self._has_failed.set()

    async def _listen(self, key: str, server: _Server) -> None:
        address = getattr(self._settings, key)
        try:
            await server.start(address)
        except OSError as error:
            raise AddressInUseError(
                f"cannot listen on {address}: {error.strerror}",
                source=self._settings.name,
                path=key,
            ) from error

    async def _follow_view(self) -> None:
        changes = self._membership.subscribe()
        while True:
            self._take_view(await changes.get())

    def _take_view(self, change: ViewChanged) -> None:
        if change.was_paused:
            self._shares.reset()
            self._forget_evidence()
        self._events.record_view(change.view)
        self._client.retain({e.peer_address for e in change.view.instances})
        self._update_owners(change.view)
        readers = select_readers(
            change.view, self._settings.data_centre, READERS_PER_DATA_CENTRE
        )
        # An instance that knows of no others yet reads for itself.
        is_alone = len(change.view.instances) <= 1
        self._reader.set_reading(is_alone or self._settings.name in readers)

    def _forget_evidence(self) -> None:
        self.target_tracker.reset()
        self._limits.reset()

    def _update_owners(self, view: View) -> None:
        instances = view.instances
        ready = [(e.name, e.data_centre) for e in instances if e.status is Status.READY]
        self._may_own = any(name == self._settings.name for name, _ in ready)
        configuration = self.configuration
        changed = self._owners.update(configuration.services, ready)
        digest = combine_digest(view, configuration.version)
        self._plan.update(configuration, digest)
        self._sources.update(configuration.services, ready)
        for service, ownership in changed.items():
            self.dispatch.set_ownership(service, ownership)
        if changed:
            self._evidence_requester.restart()

    def _take_configuration(self, configuration: Configuration) -> None:
        services = configuration.services.values()
        names = [target.name for service in services for target in service.targets]
        addresses = {t.address for s in services for t in s.targets}
        self.target_tracker.set_services(services)
        self._shares.set_targets(names, self._clock.read())
        self.budget.set_services(services)
        self.dispatch.set_configuration(configuration)
        self._limits.set_targets(names)
        self._forwarder.keep_targets(addresses)
        self._retries.set_services(services)
        self.metrics.set_targets(
            {s.name: [t.name for t in s.targets] for s in services}
        )
        self._update_owners(self.view)
        self._limits.refresh()

    def _tell_progress(self) -> None:
        state = self.history.state
        self._membership.readiness.record_schema_known(not self.history.incompatibility)
        self._membership.handle_configuration(
            state.sequence, state.version, state.digest
        )

    def _take_list(self, published: PublishedList, now: float) -> None:
        self._membership.handle_list(published, now)
        targets = published.targets
        instances = [e.name for e in published.instances if not e.is_leaving]
        self._shares.set_listed(instances, now)
        self.target_tracker.set_listed(
            live=[target.name for target in targets if not target.is_leaving],
            leaving=[target.name for target in targets if target.is_leaving],
            now=now,
        )
        self._limits.refresh()
        self._drain_notifier.notify()

    def _find_source(self, sequence: int) -> str | None:
        ahead = [e for e in self.view.instances if e.sequence > sequence]
        return self._rng.choice(ahead).peer_address if ahead else None

    async def _fetch_records(self, address: str, after: int) -> list[bytes]:
        records = await self._client.fetch_records(address, after)
        return [record.document for record in records]

    def _list_peers(self) -> list[str]:
        names = self.view.names
        return [name for name in names if name != self._settings.name]

    def _note_probe(self, target: str, is_usable: bool) -> None:
        self._metrics_updater.count_probe(target, is_usable)
        self._limits.refresh_one(target, self._clock.read())
        self._drain_notifier.notify()

    def _count_violations(self) -> int:
        broken = [e for e in self.failures if isinstance(e, InvariantError)]
        return self.prober.violations + len(broken)

    def _find_peer_address(self, name: str) -> str | None:
        entry = self._membership.table.find(name)
        return entry.peer_address if entry is not None else None

    def _accepts_requests(self) -> bool:
        # Without evidence requests wait; only an instance that has not joined may
        # act on old knowledge.
        now = self._clock.read()
        return self._is_leaving or self._membership.readiness.decide(now).is_ready

    def _needs_refresh(self, service: str) -> bool:
        return self._settings.name not in self._owners.find(service).owners

    def _find_addresses(self, name: str) -> AddressResponse:
        service = self.configuration.services.get(name)
        if service is None:
            raise UnknownServiceError(f"no service is named {name!r}")
        return build_address_response(
            service,
            self._owners.find(name),
            self.view,
            data_centre=self._settings.data_centre,
            version=self.configuration.version,
            rng=self._rng,
        )

    def _read_readiness(self) -> Readiness:
        now = self._clock.read()
        decision = self._membership.readiness.decide(now)
        if not decision.is_ready:
            return Readiness(is_ready=False, reason=decision.reason)
        if not self._may_own:
            return Readiness(is_ready=False, reason="owned targets not known yet")
        missing = list_services_without_evidence(self._plan, self.target_tracker, now)
        text = f"no evidence for targets of {', '.join(missing)}" if missing else ""
        return Readiness(is_ready=not missing, reason=text)

    def _read_audit(self, after: int) -> Iterable[Mapping[str, Any]]:
        return [render_event(event) for event in self.trail.events_after(after)]
