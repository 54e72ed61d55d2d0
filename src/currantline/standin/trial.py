"""Simulated deployments under load and faults, with a journal of events."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import attrs

from currantline.configuration import (
    Configuration,
    Priority,
    Route,
    Service,
    Target,
)
from currantline.directory import assign_owners
from currantline.exceptions import PlatformError
from currantline.standin.alarms import collect_errors
from currantline.standin.journal import (
    AppliedVersion,
    Arrival,
    Completion,
    FaultWindow,
    Journal,
)
from currantline.standin.load import run_load
from currantline.standin.network import Network, run_on_host, run_session
from currantline.standin.site import CALLER_HOST, PLATFORM_HOST, Site
from currantline.standin.target import Behaviour
from currantline.wire import Request, Response, find_header

__all__ = ["Trial", "build_small_configuration", "run_trial"]

POLL_INTERVAL_S = 0.1
READY_TIMEOUT_S = 30.0
WARM_UP_S = 4.0
RECENT_ARRIVALS = 50
DATA_CENTRES = ("north", "south")
SLOTS = 2


def build_small_configuration(*, targets: int = 4) -> Configuration:
    """Return two services, one with orders and one with deferrable work.

    Parameters
    ----------
    targets : int
        Targets of each service.
    """
    order = Route(name="order", method="POST", path_prefix="/orders")
    stock = Route(name="stock", method="GET", idempotent=True)
    lookup = Route(name="lookup", priority=Priority.DEFERRABLE, idempotent=True)
    services = [
        Service(
            name="ordering",
            targets=_build_targets("ordering", 1, targets),
            routes=(order, stock),
            timeout_ms=3000.0,
            slots_per_owner=4,
        ),
        Service(
            name="archive",
            targets=_build_targets("archive", 2, targets),
            routes=(lookup,),
            timeout_ms=8000.0,
            slots_per_owner=4,
        ),
    ]
    return Configuration(version=1, services={each.name: each for each in services})


def run_trial(
    scenario: Callable[["Trial"], Awaitable[None]],
    *,
    seed: int,
    count: int = 4,
    configuration: Configuration | None = None,
) -> Journal:
    """Run a scenario on a simulated deployment and return its journal.

    Parameters
    ----------
    scenario : callable
        Coroutine function that is called with the started trial.
    seed : int
        Seed of all random choices.
    count : int
        Number of instances.
    configuration : Configuration, optional
        Initial configuration.
    """
    network = Network()
    journal = Journal()

    async def session() -> None:
        site = Site(
            configuration or build_small_configuration(),
            count=count,
            seed=seed,
            network=network,
        )
        trial = Trial(site, journal, seed)
        # Errors during teardown are ignored, since it cancels tasks at any point.
        with collect_errors(journal.errors):
            await trial.start()
            await scenario(trial)
            trial.record_state()

    run_session(network, session())
    return journal


class Trial:
    """A simulated deployment with its load and journal.

    Parameters
    ----------
    site : Site
        The deployment.
    journal : Journal
        Receives the events.
    seed : int
        Seed of the load and of random choices.
    """

    def __init__(self, site: Site, journal: Journal, seed: int) -> None:
        self.site = site
        self.journal = journal
        self.rng = random.Random(f"{seed} faults")
        self.version = site.configuration.version
        self.caller = site.build_caller()
        self.caller.on_end = self._record_completion
        self.reserved: set[str] = set()
        self._seed = seed
        self._is_partitioned = False
        self._reachable_since: dict[str, float] = {}
        self._min_versions: dict[str, int] = {}
        self._applied_versions: dict[str, AppliedVersion] = {}
        self._monitor_task: asyncio.Task[None] | None = None

    @property
    def now(self) -> float:
        """Virtual time in milliseconds."""
        return self.site.clock.read()

    async def start(self) -> None:
        """Start all processes and wait until all instances are ready."""
        with self.record_fault("start"):
            await self.site.start()
            services = self.site.configuration.services.values()
            self.journal.budgets = {
                t.name: s.probe_budget for s in services for t in s.targets
            }
            self.journal.published.append((self.now, self.version))
            for name, target in self.site.targets.items():
                target.on_arrival = self._make_arrival_recorder(name)
            self._monitor_task = asyncio.create_task(self._monitor())
            await self.wait_until_ready()
            # It takes some seconds until the first leases are held.
            await asyncio.sleep(WARM_UP_S)

    async def wait_until_ready(self) -> None:
        """Wait until all running instances are ready.

        Raises
        ------
        PlatformError
            If an instance is not ready within `READY_TIMEOUT_S`.
        """
        end = self.now + READY_TIMEOUT_S * 1000
        while not all(each.is_ready for each in self.site.instances.values()):
            if self.now > end:
                raise PlatformError(
                    f"some instances are not ready after {READY_TIMEOUT_S:g} s"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def run_load(self, *, rate: float, duration_s: float) -> None:
        """Send a mixed load to each service and wait for all outcomes."""
        await asyncio.gather(
            *(
                run_on_host(
                    CALLER_HOST,
                    run_load(
                        self.caller,
                        service,
                        seed=self._seed,
                        rate=rate,
                        duration_s=duration_s,
                    ),
                )
                for service in self.site.configuration.services.values()
            )
        )

    @contextlib.contextmanager
    def record_fault(
        self, name: str, *, allows_unknown: bool = False
    ) -> Iterator[None]:
        """Record a fault in the journal for the duration of the context."""
        window = FaultWindow(name=name, start=self.now, allows_unknown=allows_unknown)
        self.journal.fault_windows.append(window)
        yield
        window.end = self.now

    @contextlib.contextmanager
    def reserve(self, name: str) -> Iterator[str]:
        """Reserve an instance or target so that other faults do not select it."""
        self.reserved.add(name)
        yield name
        self.reserved.discard(name)

    @contextlib.asynccontextmanager
    async def partition(self, *groups: list[str]) -> AsyncIterator[None]:
        """Partition groups of instances; the platform is in the first group."""
        hosts = [[self.site.find_host(name) for name in group] for group in groups]
        hosts[0].append(PLATFORM_HOST)
        self.site.network.partition(*hosts)
        self._is_partitioned = True
        yield
        self.site.network.heal()
        self._is_partitioned = False

    async def restart(self, name: str) -> None:
        """Restart an instance and require that it serves no older configuration."""
        versions = [each.configuration.version for each in self.site.instances.values()]
        await self.site.start_instance(name)
        min_version = 0 if self._is_partitioned else min(versions, default=0)
        self._min_versions[self.site.find_process(name)] = min_version

    def find_owner(self, service: str) -> str:
        """Return an unreserved instance, if possible an owner for a service."""
        running = self.site.instances
        ready = sorted(name for name, each in running.items() if each.is_ready)
        available = [name for name in ready if name not in self.reserved]
        configured = self.site.configuration.services[service]
        locations = [(name, self.site.settings[name].data_centre) for name in ready]
        owners = assign_owners(configured, locations).owners
        return next((name for name in owners if name in available), available[0])

    def find_busiest_target(self, service: str) -> str:
        """Return the unreserved target of a service with the most recent requests."""
        names = [t.name for t in self.site.configuration.services[service].targets]
        recent = self.journal.arrivals[-RECENT_ARRIVALS:]
        arrival_counts = Counter(arrival.target for arrival in recent)
        return max(
            (n for n in names if n not in self.reserved),
            key=lambda n: arrival_counts[n],
        )

    def publish_patch(self, *, base_version: int | None = None) -> bool:
        """Publish a patch and return whether it must be accepted."""
        base = self.version if base_version is None else base_version
        is_accepted = base == self.version
        if is_accepted:
            self.version += 1
            self.journal.published.append((self.now, self.version))
        value = 3000.0 + 10 * len(self.site.platform.records)
        self.site.platform.publish(
            {
                "kind": "patch",
                "base_version": base,
                "author": "operator",
                "body": [{"set": "services/ordering/timeout_ms", "value": value}],
            }
        )
        return is_accepted

    def drain(self, name: str) -> FaultWindow:
        """Drain a target that is still live in the published list."""
        self.site.targets[name].set_behaviour(Behaviour(state="draining"))
        drain = FaultWindow(name=name, start=self.now)
        self.journal.drains.append(drain)
        return drain

    def end_drain(self, drain: FaultWindow) -> None:
        """Make a drained target ready again."""
        drain.end = self.now
        self.site.targets[drain.name].set_behaviour(Behaviour())

    def record_state(self) -> None:
        """Record the configuration in effect at each instance, and failed tasks."""
        for name, instance in self.site.instances.items():
            process = self.site.find_process(name)
            if not self._is_reachable(name) or process not in self._reachable_since:
                self._reachable_since[process] = self.now
            since = self._reachable_since[process]
            due = self.journal.find_due_version(self.now, since)
            if instance.is_ready:
                due = max(due, self._min_versions.get(process, 0))
            state = instance.history.state
            applied = AppliedVersion(
                when=self.now,
                process=process,
                sequence=state.sequence,
                version=state.version,
                digest=state.digest,
                due_version=due,
            )
            self._record_applied_version(applied)
            for error in instance.failures:
                line = f"{process}: a task failed with {error!r}"
                if line not in self.journal.errors:
                    self.journal.errors.append(line)

    def _record_applied_version(self, applied: AppliedVersion) -> None:
        previous = self._applied_versions.get(applied.process)
        if previous is None or attrs.evolve(previous, when=applied.when) != applied:
            self._applied_versions[applied.process] = applied
            self.journal.applied_versions.append(applied)

    async def _monitor(self) -> None:
        while True:
            self.record_state()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_reachable(self, name: str) -> bool:
        platform = self.site.platform
        network = self.site.network
        return not (
            platform.is_down
            or platform.stale_after is not None
            or self.site.find_process(name) in network.frozen
            or network.is_partitioned(self.site.find_host(name), PLATFORM_HOST)
        )

    def _make_arrival_recorder(self, name: str) -> Callable[[str, str], None]:
        def record(path: str, request_id: str) -> None:
            if path == "/health":
                self.journal.probes[name].append(self.now)
                return
            arrival = Arrival(when=self.now, target=name, request_id=request_id)
            self.journal.arrivals.append(arrival)

        return record

    def _record_completion(
        self, request: Request, outcome: str, response: Response | None
    ) -> None:
        request_id = find_header(request.headers, "currantline-request-id") or ""
        path = "/" + request.target.split("/", 3)[3]
        is_match = True
        if response is not None and outcome == "answered" and response.status == 200:
            is_match = response.body == f"{request_id} {path}".encode()
        self.journal.completions.append(
            Completion(
                when=self.now,
                request_id=request_id,
                outcome=outcome,
                is_match=is_match,
            )
        )


def _build_targets(service: str, subnet: int, count: int) -> tuple[Target, ...]:
    return tuple(
        Target(
            name=f"{service}-{number}",
            address=f"10.2.{subnet}.{number}:7000",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            slots=SLOTS,
        )
        for number in range(1, count + 1)
    )
