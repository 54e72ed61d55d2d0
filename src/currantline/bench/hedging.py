"""Response times and extra work of hedging and its alternatives, in virtual time.

Every way to hedge gets the same requests on the same hosts.

Run with ``python -m currantline.bench.hedging``.
"""

import itertools
import sys

from currantline.bench._hedging_model import Arm, Load, Model, Result

__all__ = ["ARMS", "LOADS", "measure"]

SEEDS = (1, 2)

LOADS = {
    "120/s": Load(120.0, 126, 153, 2, 221.0, 578.0),
    "250/s": Load(250.0, 126, 153, 2, 221.0, 578.0),
    "330/s, 3% long": Load(330.0, 41, 55, 4, 111.0, 479.0, long_share=0.03),
}
ARMS = (
    Arm("one target, no probe, no hedge", probes=1),
    Arm("one target, no probe, fixed delay", "delay", probes=1, quantile=0.0),
    Arm("probing, no hedge"),
    Arm("fixed delay", "delay", quantile=0.0),
    Arm("quantile 0.90", "delay", quantile=0.9),
    Arm("quantile 0.95", "delay"),
    Arm("quantile 0.98", "delay", quantile=0.98),
    Arm("quantile 0.95, 2% in 10 s", "delay", limit=0.02),
    Arm("quantile 0.95, 2% in 100 s", "delay", limit=0.02, window_ms=100_000.0),
    Arm("quantile 0.98, 2% in 100 s", "delay", 4, 0.98, 0.02, 100_000.0),
    Arm("quantile 0.95, 10% in 10 s", "delay", limit=0.1),
    Arm("tied requests", "tied"),
    Arm("host reports slowness", "slow"),
)


def measure(load: Load, arm: Arm, seed: int) -> Result:
    """Run one way to hedge and return the result."""
    return Model(load, arm, seed).run()


def main() -> None:
    """Print a row for each load, way to hedge and seed."""
    row = "{:<16}{:<35}{:>5}{:>8}{:>8}{:>8}{:>9}{:>8}{:>9}\n"
    heads = (
        "load",
        "hedging",
        "seed",
        "p50",
        "p99",
        "p99.9",
        "hedges",
        "worst",
        "slot ms",
    )
    sys.stdout.write(row.format(*heads))
    for (name, load), arm, seed in itertools.product(LOADS.items(), ARMS, SEEDS):
        found = measure(load, arm, seed)
        times = (f"{time:.0f}" for time in (found.p50, found.p99, found.p999))
        cost = (f"{found.hedges:.2%}", f"{found.worst:.1%}", f"{found.slot_ms:.1f}")
        sys.stdout.write(row.format(name, arm.name, seed, *times, *cost))
        sys.stdout.flush()


if __name__ == "__main__":
    main()
