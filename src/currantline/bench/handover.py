"""Response times and probe rates during changes of owners.

Run with ``python -m currantline.bench.handover``. A complete deployment runs in one
process on the in-memory network, with virtual time and a seed.
"""

import asyncio
import bisect
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import attrs
from absl import app, flags

from currantline.configuration import Configuration, Service, parse_configuration
from currantline.standin.caller import StandinCaller
from currantline.standin.load import draw_requests
from currantline.standin.network import Network, run_on_host, run_session
from currantline.standin.site import CALLER_HOST, Site

__all__ = ["CASES", "Result", "run_case"]

# The share right of a target begins after a list memory of 60 s.
SETTLE_S = 64.0
WARM_UP_S = 3.0
FREEZE_S = 5.0
PARTITION_S = 20.0
READY_POLL_S = 0.05
SECOND_MS = 1000.0


@attrs.define(kw_only=True)
class Result:
    """Observations of callers and targets.

    Parameters
    ----------
    response_times : list of tuple
        Send time and response time of each short request, in ms.
    outcomes : Counter
        Number of requests by outcome.
    probe_ratio : float
        Maximum number of probes of a target within a second, over its budget.
    ready_ms : float
        Time from the start until every instance was ready.
    violations : list of str
        Violations of guarantees.
    """

    response_times: list[tuple[float, float]] = attrs.field(factory=list)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    probe_ratio: float = 0.0
    ready_ms: float = 0.0
    violations: list[str] = attrs.field(factory=list)

    def find_quantile(self, share: float) -> float:
        """Return a quantile of the times of short requests in ms."""
        times = sorted(time_ms for _, time_ms in self.response_times)
        return times[min(len(times) - 1, int(share * len(times)))] if times else 0.0


async def start(site: Site) -> None:
    """Inject no event."""


async def kill(site: Site) -> None:
    """Kill an owner."""
    site.kill(find_owner(site))


async def leave(site: Site) -> None:
    """Let an owner leave gracefully."""
    await site.leave(find_owner(site))


async def join(site: Site) -> None:
    """Start and list one more instance."""
    await site.join()


async def freeze(site: Site) -> None:
    """Freeze an owner for 5 s."""
    owner = find_owner(site)
    site.freeze(owner)
    await asyncio.sleep(FREEZE_S)
    site.thaw(owner)


async def partition(site: Site) -> None:
    """Cut off an owner and another instance for 20 s."""
    owner = find_owner(site)
    other = next(name for name in site.instances if name != owner)
    site.isolate([owner, other])
    await asyncio.sleep(PARTITION_S)
    site.network.heal()


@attrs.frozen(kw_only=True)
class Case:
    """An event and the timing of its run.

    Parameters
    ----------
    inject_event : callable
        Coroutine function that injects the event.
    settle_s : float
        Seconds without load before the load starts.
    duration_s : float
        Seconds of load that are measured.
    """

    inject_event: Callable[[Site], Awaitable[None]]
    settle_s: float = SETTLE_S
    duration_s: float = 12.0


CASES = {
    "start": Case(inject_event=start, settle_s=0.0),
    "calm": Case(inject_event=start),
    "kill": Case(inject_event=kill),
    "leave": Case(inject_event=leave),
    "join": Case(inject_event=join),
    "freeze": Case(inject_event=freeze, duration_s=16.0),
    "partition": Case(inject_event=partition, duration_s=32.0),
}


def find_owner(site: Site) -> str:
    """Return the first owner of the service with the longest timeout.

    With a shorter timeout, refusals at the deadline would hide long waits.
    """
    services = site.configuration.services.values()
    service = max(services, key=lambda each: each.timeout_ms)
    owner_lists = (i.list_owners(service.name) for i in site.instances.values())
    return next(owners[0] for owners in owner_lists if owners)


def run_case(
    configuration: Configuration, case: Case, *, count: int, rate: float, seed: int
) -> Result:
    """Run one case on the in-memory network.

    Parameters
    ----------
    configuration : Configuration
        Services and targets.
    case : Case
        What to run.
    count : int
        Number of instances.
    rate : float
        Requests per second for each service.
    seed : int
        Seed of all randomness.
    """
    network = Network()
    session = _Session(configuration, case, count, rate, seed, network)
    return run_session(network, session.run())


class _Session:
    def __init__(
        self,
        configuration: Configuration,
        case: Case,
        count: int,
        rate: float,
        seed: int,
        network: Network,
    ) -> None:
        self._configuration = configuration
        self._case = case
        self._count = count
        self._rate = rate
        self._seed = seed
        self._network = network
        self._result = Result()

    async def run(self) -> Result:
        site = Site(
            self._configuration,
            count=self._count,
            seed=self._seed,
            network=self._network,
        )
        await site.start()
        await self._wait_until_ready(site)
        await asyncio.sleep(self._case.settle_s)
        caller = site.build_caller()
        load = run_on_host(CALLER_HOST, self._run_load(caller))
        if self._case.settle_s:
            await asyncio.sleep(WARM_UP_S)
        event_task = asyncio.create_task(_await(self._case.inject_event(site)))
        await load
        await event_task
        self._finish(site, caller)
        return self._result

    async def _wait_until_ready(self, site: Site) -> None:
        while not all(each.is_ready for each in site.instances.values()):
            await asyncio.sleep(READY_POLL_S)
        self._result.ready_ms = site.clock.read()

    async def _run_load(self, caller: StandinCaller) -> None:
        async with asyncio.TaskGroup() as group:
            for service in self._configuration.services.values():
                group.create_task(self._run_service(caller, service))

    async def _run_service(self, caller: StandinCaller, service: Service) -> None:
        rng = random.Random(f"{self._seed} {service.name}")
        requests = draw_requests(service, rng)
        loop = asyncio.get_running_loop()
        due = loop.time()
        warm_up_s = WARM_UP_S if self._case.settle_s else 0.0
        measured = due + warm_up_s
        end = measured + self._case.duration_s
        async with asyncio.TaskGroup() as group:
            while due < end:
                request = next(requests)
                group.create_task(
                    self._send(caller, service.name, request, due >= measured)
                )
                due += rng.expovariate(self._rate)
                await asyncio.sleep(max(0.0, due - loop.time()))

    async def _send(
        self,
        caller: StandinCaller,
        service: str,
        request: tuple[str, str, str],
        is_measured: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        outcome = await caller.send(service, *request)
        if not is_measured:
            return
        self._result.outcomes[outcome] += 1
        if not request[1].startswith("/long"):
            time_ms = (loop.time() - started) * 1000
            self._result.response_times.append((started * 1000, time_ms))

    def _finish(self, site: Site, caller: StandinCaller) -> None:
        result = self._result
        result.probe_ratio = max(
            count_peak_per_second(site.targets[target.name].probe_times_ms)
            / service.probe_budget
            for service in self._configuration.services.values()
            for target in service.targets
        )
        seen = site.count_requests()
        result.violations += [
            f"{n} ran after not-run" for n in caller.not_run & seen.keys()
        ]
        result.violations += [
            f"{name}: {report.mismatches} answers of another request"
            for name, report in caller.results.items()
            if report.mismatches
        ]


async def _await(awaitable: Awaitable[None]) -> None:
    await awaitable


def count_peak_per_second(times: Iterable[float]) -> int:
    """Return the maximum number of times within any second."""
    ordered = sorted(times)
    return max(
        (
            bisect.bisect_left(ordered, time + SECOND_MS) - place
            for place, time in enumerate(ordered)
        ),
        default=0,
    )


def print_row(name: str, result: Result) -> None:
    """Print the line of one case."""
    counts = result.outcomes
    print(
        f"{name:10}{result.find_quantile(0.5):8.1f}{result.find_quantile(0.99):9.1f}"
        f"{result.find_quantile(1.0):9.0f}{counts['answered']:9}"
        f"{counts['not-run']:9}{counts['unknown']:9}{result.probe_ratio:8.2f}"
        f"{result.ready_ms:9.0f}",
        flush=True,
    )
    for line in result.violations:
        print(f"    broken: {line}")


def main(_: list[str]) -> int:
    """Run the cases and return 0 if no guarantee was violated."""
    options = flags.FLAGS
    path = Path(options.configuration)
    configuration = parse_configuration(path.read_text("utf-8"), source=str(path))
    print(
        f"{'case':10}{'p50 ms':>8}{'p99 ms':>9}{'max ms':>9}{'answered':>9}"
        f"{'not-run':>9}{'unknown':>9}{'probes':>8}{'ready ms':>9}"
    )
    has_violations = False
    for name in options.case or CASES:
        result = run_case(
            configuration,
            CASES[name],
            count=options.instances,
            rate=options.rate,
            seed=options.seed,
        )
        print_row(name, result)
        has_violations = has_violations or bool(result.violations)
    return int(has_violations)


if __name__ == "__main__":
    flags.DEFINE_string("configuration", "examples/coop.yaml", "Configuration to run.")
    flags.DEFINE_multi_enum("case", None, list(CASES), "Case to run; all if not given.")
    flags.DEFINE_integer("instances", 6, "Number of instances.")
    flags.DEFINE_float("rate", 40.0, "Requests per second for each service.")
    flags.DEFINE_integer("seed", 1, "Seed of all randomness.")
    app.run(main)
