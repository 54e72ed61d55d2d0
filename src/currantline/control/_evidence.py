"""Finds owned services for which an instance has no evidence."""

from currantline.control._plan import OwnedTargets
from currantline.load import TargetTracker

__all__ = ["list_services_without_evidence"]


def list_services_without_evidence(
    plan: OwnedTargets, target_tracker: TargetTracker, now: float
) -> list[str]:
    """Return the services that have no owned target with evidence, sorted by name.

    Parameters
    ----------
    plan : OwnedTargets
        Targets that the local instance owns.
    target_tracker : TargetTracker
        Evidence about targets.
    now : float
        Time in milliseconds of the clock.
    """
    owned = {
        target.name: plan.find_service(target.name) for target in plan.list_owned()
    }
    known = {
        s for target, s in owned.items() if target_tracker.has_evidence(target, now)
    }
    return sorted(set(owned.values()) - known)
