"""Selection of the instances that callers connect to."""

import random
from collections.abc import Iterable

from currantline.fleet._member import Member

__all__ = ["choose_hosts"]

# Maximum number of hosts in a directory response.
MAX_HOSTS = 64

# Minimum number of hosts in a directory response if enough instances are ready, so that
# a caller whose first choice has just failed can try others.
MIN_HOSTS = 3


def choose_hosts(
    ready: Iterable[Member], data_centre: str, rng: random.Random
) -> list[str]:
    """Return the hosts for callers of a data centre.

    Hosts of other data centres are added only if this one has fewer than
    ``MIN_HOSTS``.

    Parameters
    ----------
    ready : iterable of Member
        Instances that accept callers.
    data_centre : str
        Data centre of the caller.
    rng : random.Random
        Samples hosts if there are more than needed.
    """
    members = list(ready)
    local = [member.host for member in members if member.data_centre == data_centre]
    remote = [member.host for member in members if member.data_centre != data_centre]
    shortfall = MIN_HOSTS - len(local)
    if shortfall > 0:
        local += rng.sample(remote, min(shortfall, len(remote)))
    return rng.sample(local, MAX_HOSTS) if len(local) > MAX_HOSTS else local
