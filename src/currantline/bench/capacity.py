"""Capacity benchmark behind ``docs/CAPACITY.md``.

Run with ``python -m currantline.bench.capacity``; ``--only`` chooses sections. Each
line holds a metric at ascending sizes, its least-squares slope per unit of size and
the exponent between the two largest sizes: 0 constant, 1 linear, 2 quadratic.
"""

from collections.abc import Callable

from absl import app, flags

from currantline.bench._capacity_cores import (
    measure_address_responses,
    measure_configuration,
    measure_dispatch,
    measure_load,
    measure_owners,
)
from currantline.bench._capacity_fleet import (
    measure_gossip,
    measure_idle_daemon,
    measure_slots,
)
from currantline.bench._capacity_wire import measure_channels, measure_wire
from currantline.bench._slopes import Series
from currantline.exceptions import PlatformError

__all__ = ["SECTIONS", "print_section"]

GOSSIP_SIZES = (5, 19, 50, 100, 400)
COOP_PATH = "examples/coop.yaml"

SECTIONS: dict[str, tuple[str, Callable[[], list[Series]]]] = {
    "configuration": ("targets", measure_configuration),
    "owners": ("instances", measure_owners),
    "answers": ("instances", measure_address_responses),
    "dispatch": ("services", measure_dispatch),
    "load": ("targets", measure_load),
    "slots": ("load", measure_slots),
    "wire": ("messages", measure_wire),
    "channels": ("channels", measure_channels),
    "gossip": ("instances", lambda: measure_gossip(GOSSIP_SIZES)),
}


def print_section(name: str) -> None:
    """Measure one section and print its table."""
    size, measure = SECTIONS[name]
    series = measure()
    sizes = "".join(f"{x:>13g}" for x, _ in series[0].points)
    print(f"\n{name}, by {size}")
    print(f"  {'':<44}{sizes}{'slope':>12}{'growth':>8}")
    for one in series:
        print(one.render(), flush=True)


def print_daemon(path: str) -> None:
    """Measure an idle daemon and print its figures."""
    print("\ndaemon, one of four with the configuration of the co-op")
    try:
        figures = measure_idle_daemon(path)
    except PlatformError as error:
        print(f"  not measured: {error}")
        return
    for name, value in figures.items():
        print(f"  {name:<44}{value:>13.5g}")


def main(_: list[str]) -> None:
    """Print the chosen sections."""
    for name in flags.FLAGS.only or (*SECTIONS, "daemon"):
        if name == "daemon":
            print_daemon(flags.FLAGS.configuration)
        else:
            print_section(name)


if __name__ == "__main__":
    flags.DEFINE_multi_enum(
        "only", None, [*SECTIONS, "daemon"], "Section to print; may be repeated."
    )
    flags.DEFINE_string("configuration", COOP_PATH, "Configuration of the daemon.")
    app.run(main)
