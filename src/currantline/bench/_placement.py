"""Owner placements that the benchmark compares."""

import enum
from collections.abc import Mapping

import attrs

from currantline.configuration import Service
from currantline.directory import Ownership, assign_owners

__all__ = ["Placement", "place_owners"]


class Placement(enum.Enum):
    """Where owners run, and which of them callers are directed to."""

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
        Placement of the owners.

    Returns
    -------
    Ownership
        Owners of all targets.
    """
    if placement is not Placement.ANYWHERE:
        return assign_owners(service, instances.items())
    # With everything in one data centre, location does not affect the assignment.
    targets = [attrs.evolve(t, data_centre="one") for t in service.targets]
    in_one_data_centre = attrs.evolve(service, targets=tuple(targets))
    return assign_owners(in_one_data_centre, [(name, "one") for name in instances])
