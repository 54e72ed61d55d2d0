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

# The same if the hosts are sampled by weight. Instances with a large weight are in most
# responses, and several of them may fail at once.
MIN_WEIGHTED_HOSTS = 4


def choose_hosts(
    ready: Iterable[Member],
    data_centre: str,
    rng: random.Random,
    *,
    uses_weights: bool = True,
) -> list[str]:
    """Return the hosts for callers of a data centre.

    Hosts of other data centres are added only if this one has fewer than
    ``MIN_HOSTS``. Callers use all hosts of a response alike. If the instances differ in
    weight, a response therefore holds some of them only, each with a probability that
    is proportional to its weight.

    Parameters
    ----------
    ready : iterable of Member
        Instances that accept callers.
    data_centre : str
        Data centre of the caller.
    rng : random.Random
        Samples hosts if there are more than needed.
    uses_weights : bool
        Whether callers are directed by the weights of the instances.
    """
    members = list(ready)
    near = [member for member in members if member.data_centre == data_centre]
    if uses_weights and len({member.weight for member in near}) > 1:
        near = _sample_by_weight(near, rng)
    local = [member.host for member in near]
    remote = [member.host for member in members if member.data_centre != data_centre]
    shortfall = MIN_HOSTS - len(local)
    if shortfall > 0:
        local += rng.sample(remote, min(shortfall, len(remote)))
    return rng.sample(local, MAX_HOSTS) if len(local) > MAX_HOSTS else local


def _sample_by_weight(members: list[Member], rng: random.Random) -> list[Member]:
    """Draw members without repetition, in proportion to their weights."""
    total = sum(member.weight for member in members)
    count = total // max(member.weight for member in members)
    count = min(MAX_HOSTS, len(members), max(MIN_WEIGHTED_HOSTS, count))
    sampled: list[Member] = []
    rest = members
    # Members whose share is above one host of the response are in each one.
    while certain := [m for m in rest if m.weight * count >= total]:
        sampled += certain[:count]
        rest = [member for member in rest if member not in certain]
        total = sum(member.weight for member in rest)
        count -= len(certain)
    return sampled + (_sample_systematically(rest, count, rng) if count > 0 else [])


def _sample_systematically(
    members: list[Member], count: int, rng: random.Random
) -> list[Member]:
    """Draw members whose weights are below the total divided by the count.

    The members lie in random order on a line, each as long as its weight, and points at
    equal distances choose those that they hit.
    """
    distance = sum(member.weight for member in members) / count
    point = rng.random() * distance
    end = 0.0
    sampled = []
    for member in rng.sample(members, len(members)):
        end += member.weight
        if point < end:
            sampled.append(member)
            point += distance
    return sampled
