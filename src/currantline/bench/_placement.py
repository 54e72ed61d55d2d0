"""Ways to choose owners that the measurement compares."""

import enum
from collections.abc import Mapping

import attrs

from currantline.configuration import Service
from currantline.directory import Ownership, assign_owners

__all__ = ["Placement", "place_owners"]


class Placement(enum.Enum):
    """Where owners are, and which of them callers are steered to."""

    ANYWHERE = "anywhere"
    NEAR_TARGET = "near-target"
    NEAR_CALLER = "near-target-and-caller"


def place_owners(
    service: Service, instances: Mapping[str, str], placement: Placement
) -> Ownership:
    """Assign the targets of a service to owners.

    Parameters
    ----------
    service : Service
        The service.
    instances : mapping of str to str
        Data centre of each live instance.
    placement : Placement
        Where owners are. Near targets, each data centre has owners of its own, or
        owners among all instances if it has none.

    Returns
    -------
    Ownership
        Owners of all targets.
    """
    if placement is Placement.ANYWHERE:
        return assign_owners(service, instances)
    owners: dict[str, None] = {}
    targets: dict[str, str] = {}
    for data_centre in sorted({target.data_centre for target in service.targets}):
        local = [t for t in service.targets if t.data_centre == data_centre]
        names = [name for name, place in instances.items() if place == data_centre]
        part = attrs.evolve(service, targets=tuple(local))
        found = assign_owners(part, names or instances)
        owners |= dict.fromkeys(found.owners)
        targets |= found.targets
    return Ownership(owners=tuple(owners), targets=targets)
