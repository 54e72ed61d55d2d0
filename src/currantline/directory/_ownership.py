"""Assignment of the targets of a service to owner instances."""

import math
from collections.abc import Iterable, Mapping, Sequence

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
        Instances that own targets, by data centre of the targets and descending rank.
    targets : mapping of str to str
        Owner of each target, by target name.
    """

    owners: tuple[str, ...]
    targets: Mapping[str, str]


def assign_owners(service: Service, instances: Iterable[tuple[str, str]]) -> Ownership:
    """Assign each target of a service to one live instance.

    The targets of each data centre have separate owners, because a slot is idle for
    one round trip on each use. The owners are the highest-ranked instances in the data
    centre, or of all instances while none is live there. Each target is assigned to
    its highest-ranked owner with remaining capacity, so that the shares of the owners
    differ little.

    Parameters
    ----------
    service : Service
        Service whose targets are assigned.
    instances : iterable of tuple
        Name and data centre of the live instances that accept work.

    Returns
    -------
    Ownership
        Empty if no instance is live.
    """
    data_centres = dict(instances)
    targets = sorted(service.targets, key=lambda target: target.name)
    owners: list[str] = []
    assigned: dict[str, str] = {}
    for data_centre in sorted({target.data_centre for target in targets}):
        local = [t for t in targets if t.data_centre == data_centre]
        ranked = _rank_candidates(service.name, data_centre, data_centres)
        chosen = ranked[: _count_owners(local, service.slots_per_owner)]
        owners += chosen
        assigned |= _assign_evenly(local, chosen)
    return Ownership(owners=tuple(dict.fromkeys(owners)), targets=assigned)


def _rank_candidates(
    service: str, data_centre: str, data_centres: Mapping[str, str]
) -> list[str]:
    local = [name for name, centre in data_centres.items() if centre == data_centre]
    if local:
        return rank(service, local)
    # The data centre is part of the key so that the targets of several data centres
    # without instances are not all assigned to the same owner.
    return rank(f"{service}\0{data_centre}", data_centres)


def _count_owners(targets: Sequence[Target], slots_per_owner: int) -> int:
    slots = sum(target.slots for target in targets)
    return max(1, math.ceil(slots / slots_per_owner))


def _assign_evenly(targets: Sequence[Target], owners: Sequence[str]) -> dict[str, str]:
    if not owners:
        return {}
    capacity = math.ceil(len(targets) / len(owners))
    counts = dict.fromkeys(owners, 0)
    assigned: dict[str, str] = {}
    for target in targets:
        choices = [
            name for name in rank(target.name, owners) if counts[name] < capacity
        ]
        assigned[target.name] = choices[0]
        counts[choices[0]] += 1
    return assigned
