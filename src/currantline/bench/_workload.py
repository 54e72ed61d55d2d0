"""Simulated deployments and their workloads."""

import random
from collections.abc import Callable, Iterator

import attrs

__all__ = [
    "COOP",
    "FEDERATION",
    "SAME_DATA_CENTRE_MS",
    "Deployment",
    "Job",
    "make_jobs",
]

SHORT_MEAN_MS = 8.0
LONG_FACTOR = 25.0
LONG_SHARE = 0.03
CALLERS = 64

# One-way latency. The value between data centres is that of the design page; the
# value within one assumes a local network.
CROSS_DATA_CENTRE_MS = 1.5
SAME_DATA_CENTRE_MS = 0.1


@attrs.frozen(kw_only=True)
class Deployment:
    """Size and latencies of one deployment.

    Parameters
    ----------
    name : str
        Name in the output.
    instances : int
        Instances of currantline.
    targets : int
        Targets of the service.
    slots : int
        Slots of each target.
    data_centres : int
        Number of data centres. Instances, targets and callers are assigned to them
        round-robin, like the targets of the example configurations.
    caller_latency_ms : float
        One-way latency from a caller to the instances of its nearest data centre,
        in milliseconds.
    timeout_ms : float
        Time from arrival to deadline, in milliseconds.
    """

    name: str
    instances: int
    targets: int
    slots: int
    data_centres: int
    caller_latency_ms: float
    timeout_ms: float

    @property
    def capacity(self) -> int:
        """Slots of all targets."""
        return self.targets * self.slots

    def latency(self, one: int, other: int) -> float:
        """Return the one-way latency between an instance and an instance or target."""
        is_same_data_centre = one % self.data_centres == other % self.data_centres
        return SAME_DATA_CENTRE_MS if is_same_data_centre else CROSS_DATA_CENTRE_MS

    def caller_latency(self, caller: int, instance: int) -> float:
        """Return the one-way latency between a caller and an instance."""
        is_nearest_data_centre = (
            caller % self.data_centres == instance % self.data_centres
        )
        return self.caller_latency_ms + (
            0.0 if is_nearest_data_centre else CROSS_DATA_CENTRE_MS
        )


COOP = Deployment(
    name="co-op",
    instances=18,
    targets=10,
    slots=2,
    data_centres=4,
    caller_latency_ms=1.0,
    timeout_ms=2000.0,
)
FEDERATION = Deployment(
    name="federation",
    instances=19,
    targets=13,
    slots=6,
    data_centres=3,
    caller_latency_ms=8.0,
    timeout_ms=3000.0,
)


@attrs.define(kw_only=True)
class Job:
    """One request.

    Parameters
    ----------
    index : int
        Number of the request.
    arrived : float
        Time at which it reaches an instance, in milliseconds.
    run_ms : float
        Time that it occupies a slot.
    is_long : bool
        Whether it uses the long route.
    caller : int
        Caller that sends it.
    deadline : float
        Time after which its response is useless.
    """

    index: int
    arrived: float
    run_ms: float
    is_long: bool
    caller: int
    deadline: float


def make_jobs(
    deployment: Deployment,
    load: Callable[[float], float],
    *,
    duration_ms: float,
    seed: int,
    with_long: bool = True,
) -> Iterator[Job]:
    """Yield the requests of one run in order of arrival.

    Parameters
    ----------
    deployment : Deployment
        Deployment that receives them.
    load : callable
        Offered load at a given time, as a share of capacity.
    duration_ms : float
        Length of the run.
    seed : int
        Seed of the random number generator.
    with_long : bool
        Whether long requests are included. The short ones are the same in both cases.
    """
    rng = random.Random(seed)
    mean_ms = SHORT_MEAN_MS * (1 - LONG_SHARE + LONG_SHARE * LONG_FACTOR)
    per_ms = deployment.capacity / mean_ms
    now = 0.0
    index = 0
    while now < duration_ms:
        now += rng.expovariate(per_ms * load(now))
        is_long = rng.random() < LONG_SHARE
        run_ms = rng.expovariate(1 / SHORT_MEAN_MS)
        caller = rng.randrange(CALLERS)
        if is_long and not with_long:
            continue
        yield Job(
            index=index,
            arrived=now,
            run_ms=run_ms * (LONG_FACTOR if is_long else 1.0),
            is_long=is_long,
            caller=caller,
            deadline=now + deployment.timeout_ms,
        )
        index += 1
