"""Table of the owners of all services."""

from collections.abc import Iterable, Mapping

from currantline.configuration import Service
from currantline.directory._ownership import Ownership, assign_owners

__all__ = ["OwnershipTable"]

NO_OWNERS = Ownership(owners=(), targets={})


class OwnershipTable:
    """Owners of all services, derived from the view of the local instance."""

    def __init__(self) -> None:
        self._services: Mapping[str, Service] = {}
        self._instances: tuple[tuple[str, str], ...] = ()
        self._owners: dict[str, Ownership] = {}

    def update(
        self, services: Mapping[str, Service], instances: Iterable[tuple[str, str]]
    ) -> dict[str, Ownership]:
        """Apply a configuration and a view.

        Parameters
        ----------
        services : mapping of str to Service
            Services in force.
        instances : iterable of tuple
            Name and data centre of the live instances that accept work.

        Returns
        -------
        dict of str to Ownership
            Owners of the services whose owners changed, by service name.
        """
        sorted_instances = tuple(sorted(instances))
        is_same_view = sorted_instances == self._instances
        old, self._owners = self._owners, {}
        for name, service in services.items():
            if is_same_view and self._services.get(name) is service:
                self._owners[name] = old[name]
            else:
                self._owners[name] = assign_owners(service, sorted_instances)
        self._services, self._instances = dict(services), sorted_instances
        return {
            name: owners
            for name, owners in self._owners.items()
            if old.get(name) != owners
        }

    def find(self, service: str) -> Ownership:
        """Return the owners of a service; empty for an unknown service."""
        return self._owners.get(service, NO_OWNERS)

    def list_owned(self, instance: str) -> tuple[str, ...]:
        """Return the names of all targets that an instance owns."""
        return tuple(
            target
            for ownership in self._owners.values()
            for target, owner in ownership.targets.items()
            if owner == instance
        )
