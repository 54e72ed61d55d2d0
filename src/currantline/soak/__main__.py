"""Run soak tests by hand: ``python -m currantline.soak --first=1 --seeds=50``."""

import asyncio
import tempfile
from pathlib import Path

from absl import app, flags

from currantline.soak._faults import FAULTS
from currantline.soak._run import run_soak

FLAGS = flags.FLAGS
flags.DEFINE_integer("first", 1, "First seed.")
flags.DEFINE_integer("seeds", 1, "Number of seeds.", lower_bound=1)
flags.DEFINE_float(
    "seconds", 30.0, "Duration of fault injection in seconds.", lower_bound=1.0
)
flags.DEFINE_integer(
    "instances", 6, "Number of instances.", lower_bound=2, upper_bound=200
)
flags.DEFINE_integer("callers", 16, "Number of concurrent callers.", lower_bound=1)
flags.DEFINE_multi_enum(
    "faults", [], sorted(FAULTS), "Faults to draw from; all if none is named."
)
flags.DEFINE_string(
    "logs", "", "Directory for instance logs; a temporary one if empty."
)


def main(_: list[str]) -> int:
    """Run the seeds sequentially and return 1 if any guarantee was violated."""
    failed = []
    with tempfile.TemporaryDirectory() as temporary:
        for seed in range(FLAGS.first, FLAGS.first + FLAGS.seeds):
            folder = Path(FLAGS.logs or temporary) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            print(f"seed {seed}", flush=True)
            violations = asyncio.run(
                run_soak(
                    seed,
                    folder,
                    duration_s=FLAGS.seconds,
                    instances=FLAGS.instances,
                    callers=FLAGS.callers,
                    faults=FLAGS.faults,
                )
            )
            for line in violations[:10]:
                print(f"  violation: {line}", flush=True)
            if violations:
                failed.append(seed)
    print(f"{FLAGS.seeds} seeds, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(main)
