"""Instances that may have evidence about the targets of the local instance."""

from collections.abc import Callable, Iterable, Mapping

from currantline.configuration import Service
from currantline.directory import OwnershipTable, assign_owners

__all__ = ["EvidenceSources"]


class EvidenceSources:
    """Instances that may have observed a target.

    Parameters
    ----------
    name : str
        Name of the local instance.
    owners : OwnershipTable
        Owners in the view of the local instance.
    find_holder : callable
        Takes a target and returns the holder of its share right.
    """

    def __init__(
        self, name: str, owners: OwnershipTable, find_holder: Callable[[str], str]
    ) -> None:
        self._name = name
        self._owners = owners
        self._find_holder = find_holder
        self._current_owners: dict[str, str] = {}
        self._previous_owners: dict[str, str] = {}
        self._other_sources: dict[str, tuple[str, ...]] = {}

    def update(
        self, services: Mapping[str, Service], ready: Iterable[tuple[str, str]]
    ) -> None:
        """Read the owners in force and derive the sources of each target.

        Parameters
        ----------
        services : mapping of str to Service
            Services in force.
        ready : iterable of tuple
            Name and data centre of each live instance that is ready.
        """
        others = [instance for instance in ready if instance[0] != self._name]
        owner: dict[str, str] = {}
        self._other_sources = {}
        for service in services.values():
            ownership = self._owners.find(service.name)
            owner.update(ownership.targets)
            if self._name in ownership.owners:
                without_local = assign_owners(service, others).targets
                for target in ownership.targets:
                    candidates = (*ownership.owners, without_local.get(target, ""))
                    self._other_sources[target] = candidates
        for target, name in self._current_owners.items():
            if owner.get(target) != name:
                self._previous_owners[target] = name
        self._current_owners = owner
        self._previous_owners = {
            t: n for t, n in self._previous_owners.items() if t in owner
        }

    def find(self, target: str) -> list[str]:
        """Return the peers to send evidence requests for a target to.

        These are its owner if that is a peer, its previous owner, which may be
        leaving, the other owners of the service, which may borrow the target, the
        instance that would own the target without the local one, and the holder of
        the share right.
        """
        candidates = (
            self._current_owners.get(target, ""),
            self._previous_owners.get(target, ""),
            *self._other_sources.get(target, ()),
            self._find_holder(target),
        )
        return [
            name for name in dict.fromkeys(candidates) if name not in ("", self._name)
        ]
