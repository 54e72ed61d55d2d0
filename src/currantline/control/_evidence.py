"""Whether an instance has evidence for the targets that it owns."""

from currantline.control._plan import OwnedTargets
from currantline.load import TargetBook

__all__ = ["list_services_without_evidence"]


def list_services_without_evidence(
    plan: OwnedTargets, book: TargetBook, now: float
) -> list[str]:
    """Return owned services without evidence for any owned target, by name.

    Parameters
    ----------
    plan : OwnedTargets
        Targets that this instance owns.
    book : TargetBook
        What is known of targets.
    now : float
        Time in milliseconds of the clock.
    """
    owned = {
        target.name: plan.find_service(target.name) for target in plan.list_owned()
    }
    known = {s for target, s in owned.items() if book.has_evidence(target, now)}
    return sorted(set(owned.values()) - known)
