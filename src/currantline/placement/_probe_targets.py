"""Choice of the targets that a request probes for their load.

In a large fleet each instance sends few requests to a target, so idle connections are
closed by the target and every probe would open a new one. Targets with an open
connection are therefore probed first. Others are explored now and then, since a target
that has just joined has no connection yet.
"""

import random
from collections.abc import Callable, Sequence

from currantline.placement._target import Target

__all__ = ["choose_probe_targets"]

# Share of the choices in which the last target is replaced by one of lower rank.
EXPLORATION_SHARE = 0.25

# Targets with a higher failure weight are probed only if there are no others. The
# weight decays and never becomes zero again.
FAILURE_THRESHOLD = 0.5


def choose_probe_targets(
    targets: Sequence[Target],
    limit: int,
    *,
    is_connected: Callable[[Target], bool],
    now: float,
    rng: random.Random,
) -> list[Target]:
    """Return the targets to probe.

    Parameters
    ----------
    targets : sequence of Target
        Targets that may be probed.
    limit : int
        Maximum number of targets to return.
    is_connected : callable
        Returns whether an idle connection to a target is open.
    now : float
        Current time in milliseconds.
    rng : random.Random
        Breaks ties and draws the explored target.
    """
    ranked = sorted(
        targets,
        key=lambda target: (
            _is_failing(target, now),
            not is_connected(target),
            rng.random(),
        ),
    )
    chosen, rest = ranked[:limit], ranked[limit:]
    others = [target for target in rest if not _is_failing(target, now)]
    if others and rng.random() < EXPLORATION_SHARE:
        chosen[-1] = rng.choice(others)
    return chosen


def _is_failing(target: Target, now: float) -> bool:
    return target.passive_health.excess_failure_weight(now) > FAILURE_THRESHOLD
