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
    local = [member.host for member in members if member.data_centre == data_centre]
    remote = [member.host for member in members if member.data_centre != data_centre]
    shortfall = MIN_HOSTS - len(local)
    if shortfall > 0:
        local += rng.sample(remote, min(shortfall, len(remote)))
    return rng.sample(local, MAX_HOSTS) if len(local) > MAX_HOSTS else local
