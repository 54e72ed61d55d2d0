"""Assignment of a service's targets to owner instances."""

import math
from collections.abc import Iterable, Mapping

import attrs

from currantline.configuration import Service, Target
from currantline.membership import rank

__all__ = ["Ownership", "assign_owners"]


@attrs.frozen(kw_only=True)
class Ownership:
    """Owners of a service.

    Parameters
    ----------
    owners : tuple of str
        Instances that own targets, by falling rank.
    targets : mapping of str to str
        Owner of each target.
    """

    owners: tuple[str, ...]
    targets: Mapping[str, str]


def assign_owners(service: Service, instances: Iterable[str]) -> Ownership:
    """Assign each target of a service to one live instance.

    The owners are the highest-ranked instances for the service. Each target goes
    to its highest-ranked owner that has room, so that shares differ by little.

    Parameters
    ----------
    service : Service
        The service.
    instances : iterable of str
        Live instances that take work.

    Returns
    -------
    Ownership
        Empty if no instance is live.
    """
    names = rank(service.name, instances)
    if not names:
        return Ownership(owners=(), targets={})
    slots = sum(target.slots for target in service.targets)
    count = min(len(names), max(1, math.ceil(slots / service.slots_per_owner)))
    owners = tuple(names[:count])
    room = math.ceil(len(service.targets) / count)
    return Ownership(owners=owners, targets=_fill(service.targets, owners, room))


def _fill(
    targets: Iterable[Target], owners: tuple[str, ...], room: int
) -> dict[str, str]:
    load = dict.fromkeys(owners, 0)
    placed: dict[str, str] = {}
    for target in sorted(targets, key=lambda target: target.name):
        choices = [name for name in rank(target.name, owners) if load[name] < room]
        placed[target.name] = choices[0]
        load[choices[0]] += 1
    return placed
