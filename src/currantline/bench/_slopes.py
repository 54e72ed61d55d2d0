"""Measurement series over sizes, and the configurations that they use."""

import gc
import math
import time
from collections.abc import Callable

import attrs

from currantline.configuration import Configuration, Route, Service, Target

__all__ = ["Series", "make_configuration", "time_call"]

DATA_CENTRES = tuple(f"region-{n % 2}-site-{n}" for n in range(7))
MIN_BATCH_S = 0.02
BATCHES = 3


@attrs.frozen(kw_only=True)
class Series:
    """One metric measured at several sizes in one run.

    Parameters
    ----------
    name : str
        Name of the metric, with its unit.
    points : tuple of (float, float)
        Pairs of size and value, in ascending order of size.
    """

    name: str
    points: tuple[tuple[float, float], ...]

    @property
    def slope(self) -> float:
        """Least-squares slope of the value per unit of size."""
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        squares = sum((x - mean_x) ** 2 for x, _ in self.points)
        if squares == 0:
            return math.nan
        return sum((x - mean_x) * (y - mean_y) for x, y in self.points) / squares

    @property
    def growth(self) -> float:
        """Exponent between the two largest sizes; 0 constant, 1 linear, 2 square."""
        (x1, y1), (x2, y2) = self.points[-2:]
        if y1 <= 0 or y2 <= 0 or x1 == x2:
            return math.nan
        return math.log(y2 / y1) / math.log(x2 / x1)

    def render(self) -> str:
        """Return the series as one line."""
        values = "".join(f"{value:>13.5g}" for _, value in self.points)
        return f"  {self.name:<44}{values}{self.slope:>12.4g}{self.growth:>8.2f}"


def time_call(call: Callable[[], object], *, batches: int = BATCHES) -> float:
    """Return the processor time of a call in milliseconds.

    Uses the fastest of several batches, as other load on the host only adds time.
    """
    count = 1
    fastest_s = math.inf
    gc.collect()
    for _ in range(batches):
        while (cpu_s := _time_batch(call, count)) < MIN_BATCH_S:
            count *= 2
        fastest_s = min(fastest_s, cpu_s / count)
    return fastest_s * 1000


def make_configuration(
    services: int, targets: int, *, version: int = 1
) -> Configuration:
    """Return a configuration with targets spread over services and data centres."""
    pools: list[list[Target]] = [[] for _ in range(services)]
    for number in range(targets):
        pool = number % services
        pools[pool].append(_make_target(pool, number))
    route = Route(name="lookup", method="GET", path_prefix="/", idempotent=True)
    made = [
        Service(name=f"service-{number:04}", targets=tuple(pool), routes=(route,))
        for number, pool in enumerate(pools)
    ]
    return Configuration(version=version, services={each.name: each for each in made})


def _make_target(pool: int, number: int) -> Target:
    return Target(
        name=f"service-{pool:04}-{number // 250}-{number % 250}",
        address=f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:7000",
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        slots=4,
    )


def _time_batch(call: Callable[[], object], count: int) -> float:
    begin = time.process_time()
    for _ in range(count):
        call()
    return time.process_time() - begin
