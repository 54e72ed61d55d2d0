"""Compare the dispatcher with baselines.

Run as ``python -m currantline.bench.measure``. Response times are measured at
the instance, from arrival to response, and include its latency to the target. The
latency from the caller to the instance is added in separate columns.
"""

import math
import random
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor

import attrs
from absl import app, flags

from currantline.bench._baselines import (
    IndependentChoice,
    SingleQueue,
    least_in_flight,
    power_of_two,
    uniform,
)
from currantline.bench._fleet import Fleet
from currantline.bench._placement import Placement
from currantline.bench._simulation import Policy, Results, Simulation
from currantline.bench._workload import COOP, FEDERATION, Deployment, make_jobs
from currantline.dispatch import DispatchOptions

__all__ = ["Run", "measure"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of all draws.", lower_bound=0)
flags.DEFINE_integer("workers", 4, "Processes that simulate.", lower_bound=1)
flags.DEFINE_integer("slots_per_owner", 40, "Slots per owner.", lower_bound=1)
flags.DEFINE_enum_class(
    "placement", Placement.NEAR_TARGET, Placement, "Where owners are."
)
flags.DEFINE_bool("compare", False, "Compare placements and margins.")
flags.DEFINE_float("lease_ms", None, "Lease of a loan, if not the default.")
flags.DEFINE_integer("fairness_interval", None, "Interval, if not the default.")

LOADS = (0.6, 0.8, 0.95)
COMPARED_PLACEMENTS = (Placement.ANYWHERE, Placement.NEAR_TARGET)
COMPARED_MARGINS_MS = (10.0, 40.0)
OVERLOAD = 2.0
WARM_UP_MS = 3000.0
# Long enough for 10,000 short requests; longer runs slow down the command.
DURATION_MS = {"co-op": 23_000.0, "federation": 11_000.0}
STEP_START_MS = 5000.0
STEP_DURATION_MS = 1000.0
STEP_INITIAL_LOAD = 0.45
CHOOSERS = {
    "random": uniform,
    "power of two": power_of_two,
    "least in-flight": least_in_flight,
}
POLICIES = ("bound", *CHOOSERS, "no lending", "ours")


@attrs.frozen(kw_only=True)
class Run:
    """One simulated run.

    Parameters
    ----------
    deployment : Deployment
        Where.
    policy : str
        One of `POLICIES`.
    load : float
        Offered work as a share of capacity.
    with_long : bool
        Whether long work is present.
    is_step : bool
        Whether the load doubles to ``load`` within a second.
    seed : int
        Seed of all draws.
    slots_per_owner : int
        Number of slots per owner.
    placement : Placement
        Where owners are.
    options : DispatchOptions
        Options of the dispatchers.
    """

    deployment: Deployment
    policy: str
    load: float
    with_long: bool = True
    is_step: bool = False
    seed: int = 1
    slots_per_owner: int = 40
    placement: Placement = Placement.NEAR_TARGET
    options: DispatchOptions = attrs.field(factory=DispatchOptions)

    @property
    def duration_ms(self) -> float:
        """Simulated time."""
        return DURATION_MS[self.deployment.name]

    @property
    def warm_up_ms(self) -> float:
        """Time from which results count."""
        return STEP_START_MS if self.is_step else WARM_UP_MS

    def load_at(self, now: float) -> float:
        """Return the offered load at a time."""
        if not self.is_step:
            return self.load
        share = min(1.0, max(0.0, (now - STEP_START_MS) / STEP_DURATION_MS))
        return STEP_INITIAL_LOAD + (self.load - STEP_INITIAL_LOAD) * share


@attrs.frozen(kw_only=True)
class Figures:
    """Results of one run; times in ms, useful work as a share of capacity."""

    short_p99: float
    caller_short_p99: float
    long_p99: float
    useful: float
    not_run: int
    unknown: int
    messages_per_s: float
    # Bytes of slot messages sent by an instance, mean and maximum.
    mean_bytes_per_s: float
    max_bytes_per_s: float
    messages_per_request: float
    bytes_per_request: float


def measure(run: Run) -> Figures:
    """Simulate one run.

    Parameters
    ----------
    run : Run
        What to simulate.

    Returns
    -------
    Figures
        Results after the warm-up.
    """
    simulation = Simulation(run.deployment, warm_up_ms=run.warm_up_ms)
    jobs = make_jobs(
        run.deployment,
        run.load_at,
        duration_ms=run.duration_ms,
        seed=run.seed,
        with_long=run.with_long,
    )
    policy = _build_policy(run, simulation)
    results = simulation.run(policy, jobs, until_ms=run.duration_ms)
    return _summarise(run, results)


def _build_policy(run: Run, simulation: Simulation) -> Policy:
    rng = random.Random(run.seed + 1000)
    if run.policy == "bound":
        return SingleQueue(simulation)
    if run.policy in CHOOSERS:
        return IndependentChoice(simulation, CHOOSERS[run.policy], rng)
    uses_lending = run.policy == "ours"
    # Without lending, instances that own no target place their requests at once.
    options = run.options if uses_lending else DispatchOptions(owner_timeout_ms=0.0)
    return Fleet(
        simulation,
        rng,
        options=options,
        slots_per_owner=run.slots_per_owner,
        placement=run.placement,
        with_messages=uses_lending,
    )


def _summarise(run: Run, results: Results) -> Figures:
    measured_ms = run.duration_ms - run.warm_up_ms
    sent = results.sent_bytes
    total = sum(sent.values())
    completed = len(results.short_ms) + len(results.long_ms)
    requests = completed + results.not_run + results.unknown
    return Figures(
        short_p99=_percentile(results.short_ms, 0.99),
        caller_short_p99=_percentile(results.caller_short_ms, 0.99),
        long_p99=_percentile(results.long_ms, 0.99),
        useful=results.useful_ms / (measured_ms * run.deployment.capacity),
        not_run=results.not_run,
        unknown=results.unknown,
        messages_per_s=results.messages / measured_ms * 1000,
        mean_bytes_per_s=total / run.deployment.instances / measured_ms * 1000,
        max_bytes_per_s=max(sent.values(), default=0) / measured_ms * 1000,
        messages_per_request=results.messages / requests,
        bytes_per_request=total / requests,
    )


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return math.nan
    return sorted(values)[int(share * len(values))]


def _list_runs(deployment: Deployment, make_run: Callable[..., Run]) -> list[Run]:
    runs = [
        make_run(deployment=deployment, policy=policy, load=load)
        for load in LOADS
        for policy in POLICIES
    ]
    runs += [
        make_run(deployment=deployment, policy="ours", load=load, with_long=False)
        for load in LOADS
    ]
    runs.append(make_run(deployment=deployment, policy="ours", load=OVERLOAD))
    runs += [
        make_run(
            deployment=deployment,
            policy=policy,
            load=2 * STEP_INITIAL_LOAD,
            is_step=True,
        )
        for policy in ("bound", "least in-flight", "ours")
    ]
    return runs


def _list_comparison(deployment: Deployment, make_run: Callable[..., Run]) -> list[Run]:
    """Return runs of two placements with several margins of lending."""
    runs = []
    for load in LOADS:
        runs.append(make_run(deployment=deployment, policy="bound", load=load))
        runs += [
            _vary(
                make_run(deployment=deployment, policy="ours", load=load),
                placement,
                margin,
            )
            for placement in COMPARED_PLACEMENTS
            for margin in COMPARED_MARGINS_MS
        ]
    return runs


def _vary(run: Run, placement: Placement, lend_margin_ms: float) -> Run:
    options = attrs.evolve(run.options, lend_margin_ms=lend_margin_ms)
    return attrs.evolve(run, placement=placement, options=options)


def _describe(run: Run) -> str:
    load = f"{STEP_INITIAL_LOAD}->{run.load}" if run.is_step else f"{run.load}"
    policy = run.policy if run.with_long else f"{run.policy}, no long"
    margin = run.options.lend_margin_ms
    owners = f"{run.placement.value}, {run.slots_per_owner}, {margin:.0f} ms"
    owners = owners if run.policy in ("ours", "no lending") else ""
    return f"{run.deployment.name:<11}{load:>10}  {policy:<16}{owners:<33}"


def _print_table(figures: dict[Run, Figures]) -> None:
    print(
        "deployment       load  policy          owners, slots, margin            "
        "  short p99  at caller   long p99   useful  not-run  unknown"
        "  messages/s  /request     B/s mean     B/s most  B/request"
    )
    for run, row in figures.items():
        print(
            f"{_describe(run)}{row.short_p99:>11.1f}{row.caller_short_p99:>11.1f}"
            f"{row.long_p99:>11.1f}"
            f"{row.useful:>9.3f}{row.not_run:>9}{row.unknown:>9}"
            f"{row.messages_per_s:>12.0f}{row.messages_per_request:>10.2f}"
            f"{row.mean_bytes_per_s:>13.0f}{row.max_bytes_per_s:>13.0f}"
            f"{row.bytes_per_request:>11.0f}"
        )


def _print_ratios(
    deployment: Deployment, figures: dict[Run, Figures], make_run: Callable[..., Run]
) -> None:
    print(f"\n{deployment.name}: ratios of short p99 (at callers)")
    for load in LOADS:
        p99 = {
            policy: figures[make_run(deployment=deployment, policy=policy, load=load)]
            for policy in POLICIES
        }
        ours, bound, rival = p99["ours"], p99["bound"], p99["least in-flight"]
        without = figures[
            make_run(deployment=deployment, policy="ours", load=load, with_long=False)
        ].short_p99
        print(
            f"  load {load}: ours/bound {ours.short_p99 / bound.short_p99:.2f} "
            f"({ours.caller_short_p99 / bound.caller_short_p99:.2f})  "
            f"least/ours {rival.short_p99 / ours.short_p99:.2f} "
            f"({rival.caller_short_p99 / ours.caller_short_p99:.2f})  "
            f"with/without long {ours.short_p99 / without:.2f}"
        )
    overload = figures[make_run(deployment=deployment, policy="ours", load=OVERLOAD)]
    print(
        f"  demand of twice capacity: useful {overload.useful:.3f}, "
        f"not-run {overload.not_run}, unknown {overload.unknown}"
    )


def _make_options() -> DispatchOptions:
    options = DispatchOptions()
    if FLAGS.lease_ms is not None:
        options = attrs.evolve(options, lease_ms=FLAGS.lease_ms)
    if FLAGS.fairness_interval is not None:
        options = attrs.evolve(options, fairness_interval=FLAGS.fairness_interval)
    return options


def _measure_all(runs: Iterable[Run], workers: int) -> dict[Run, Figures]:
    # The longest runs start first, which keeps all processes busy until the end.
    ordered = sorted(runs, key=lambda run: (run.policy != "ours", -run.load))
    with ProcessPoolExecutor(workers) as executor:
        measured = dict(zip(ordered, executor.map(measure, ordered), strict=True))
    return {run: measured[run] for run in runs}


def main(argv: list[str]) -> None:
    """Measure all runs and print tables and ratios."""
    options = _make_options()

    def make_run(**values: object) -> Run:
        return Run(
            seed=FLAGS.seed,
            slots_per_owner=FLAGS.slots_per_owner,
            placement=FLAGS.placement,
            options=options,
            **values,  # type: ignore[arg-type]
        )

    deployments = (COOP, FEDERATION)
    list_runs = _list_comparison if FLAGS.compare else _list_runs
    runs = [
        run for deployment in deployments for run in list_runs(deployment, make_run)
    ]
    figures = _measure_all(runs, FLAGS.workers)
    _print_table(figures)
    for deployment in () if FLAGS.compare else deployments:
        _print_ratios(deployment, figures, make_run)


if __name__ == "__main__":
    app.run(main)
