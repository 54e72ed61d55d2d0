"""Randomised soak test: seeded fault injection in virtual time.

Prints each injected fault, and the first invariant violation with its seed.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import attrs
from absl import app, flags

from currantline.standin.incidents import FAULTS, inject_fault
from currantline.standin.journal import Journal
from currantline.standin.trial import Trial, run_trial

__all__ = ["Soak", "run_soak"]

RATE = 12.0
CHECK_S = 5.0
# Interval between the starts of two faults; short intervals make faults overlap.
MIN_GAP_S, MAX_GAP_S = 1.0, 9.0
MAX_CONCURRENT_FAULTS = 2
INSTANCES = 5


@attrs.define
class Soak:
    """One randomised soak run.

    Parameters
    ----------
    seed : int
        Seed of faults and load.
    duration_s : float
        Duration of load and faults in virtual seconds.
    write_line : callable
        Called with each line of the report.
    """

    seed: int
    duration_s: float
    write_line: Callable[[str], object] = print
    _running: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(f"{self.seed} soak")

    async def run(self, trial: Trial) -> None:
        """Inject faults under load until the end or the first violation."""
        load = asyncio.create_task(
            trial.run_load(rate=RATE, duration_s=self.duration_s)
        )
        faults = asyncio.create_task(self._inject_faults(trial))
        while not load.done():
            await asyncio.wait([load], timeout=CHECK_S)
            if trial.journal.find_violations():
                load.cancel()
                faults.cancel()
        await asyncio.gather(load, faults, return_exceptions=True)
        await asyncio.gather(*self._running.values())

    async def _inject_faults(self, trial: Trial) -> None:
        end = trial.now + self.duration_s * 1000
        while trial.now < end:
            await asyncio.sleep(self._rng.uniform(MIN_GAP_S, MAX_GAP_S))
            self._running = {n: t for n, t in self._running.items() if not t.done()}
            if len(self._running) >= MAX_CONCURRENT_FAULTS:
                continue
            name = self._rng.choice(self._list_startable())
            self.write_line(f"{trial.now / 1000:8.1f} s  {name}")
            self._running[name] = asyncio.create_task(inject_fault(trial, name))

    def _list_startable(self) -> list[str]:
        has_exclusive = any(FAULTS[name].is_exclusive for name in self._running)
        return [
            name
            for name, fault in FAULTS.items()
            if name not in self._running and not (has_exclusive and fault.is_exclusive)
        ]


def run_soak(
    seed: int, duration_s: float, *, write_line: Callable[[str], object] = print
) -> Journal:
    """Inject seeded faults and return the journal.

    Parameters
    ----------
    seed : int
        Seed of faults and load.
    duration_s : float
        Duration of load and faults in virtual seconds.
    write_line : callable
        Called with each line of the report.
    """
    journal = run_trial(
        Soak(seed, duration_s, write_line).run, seed=seed, count=INSTANCES
    )
    outcomes = Counter(completion.outcome for completion in journal.completions)
    write_line("  ".join(f"{name} {count}" for name, count in sorted(outcomes.items())))
    violations = journal.find_violations()
    if violations:
        write_line(
            f"seed {seed} had {len(violations)} violations, first: {violations[0]}"
        )
    return journal


def main(_: list[str]) -> int:
    """Run and return 0 if every invariant held."""
    options = flags.FLAGS
    print(f"seed {options.seed}, {options.minutes:g} minutes of virtual time")
    journal = run_soak(options.seed, options.minutes * 60)
    return 1 if journal.find_violations() else 0


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of faults and load.")
    flags.DEFINE_float("minutes", 5.0, "Minutes of virtual time.", lower_bound=0.1)
    app.run(main)
