"""Which targets a request asks for their load.

Answers the load pattern of a fleet whose instances each send a target few requests: a
connection idles until the target closes it, and every question would open another
one. So targets with a kept connection are asked first, and some others now and then,
since a target that has just joined has no connection yet.
"""

import random
from collections.abc import Callable, Sequence

from currantline.placement._target import Target

__all__ = ["choose_probe_targets"]

# Part of the looks in which one target without a kept connection is asked.
EXPLORATION_SHARE = 0.25

# Weight of recent failures from which a target is asked only if there are no others.
FAILURE_THRESHOLD = 0.5


def choose_probe_targets(
    targets: Sequence[Target],
    limit: int,
    *,
    is_connected: Callable[[Target], bool],
    now: float,
    rng: random.Random,
) -> list[Target]:
    """Return the targets to ask.

    Parameters
    ----------
    targets : sequence of Target
        Targets that may be asked.
    most : int
        Number of targets to return at most.
    is_connected : callable
        Returns whether a connection to a target is kept.
    now : float
        Current time in milliseconds.
    rng : random.Random
        Draws among equal targets.
    """
    ranked = sorted(
        targets,
        key=lambda target: (
            target.passive_health.failure_weight(now) > FAILURE_THRESHOLD,
            not is_connected(target),
            rng.random(),
        ),
    )
    chosen, rest = ranked[:limit], ranked[limit:]
    others = [
        target for target in rest if target.passive_health.failure_weight(now) == 0.0
    ]
    if others and rng.random() < EXPLORATION_SHARE:
        chosen[-1] = rng.choice(others)
    return chosen
