"""Which instances callers should connect to."""

import random
from collections.abc import Iterable

from currantline.fleet._member import Member

__all__ = ["choose_hosts"]

# Most instances that one answer names.
MAX_HOSTS = 64

# Instances that an answer names at least, if so many are ready, so that a caller
# whose first choice has just failed has others.
MIN_HOSTS = 3


def choose_hosts(
    ready: Iterable[Member], data_centre: str, rng: random.Random
) -> list[str]:
    """Return the hosts for callers of a data centre.

    Those of the data centre itself; others only where it has too few.

    Parameters
    ----------
    ready : iterable of Member
        Instances that take callers.
    data_centre : str
        Where the caller is.
    rng : random.Random
        Draws among too many.
    """
    members = list(ready)
    near = [member.host for member in members if member.data_centre == data_centre]
    far = [member.host for member in members if member.data_centre != data_centre]
    missing = MIN_HOSTS - len(near)
    if missing > 0:
        near += rng.sample(far, min(missing, len(far)))
    return rng.sample(near, MAX_HOSTS) if len(near) > MAX_HOSTS else near
