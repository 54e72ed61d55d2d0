"""Targets that the local instance may probe."""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from currantline.configuration import Configuration, Target
from currantline.directory import OwnershipTable
from currantline.load import RequestedTargets, ShareRights

__all__ = ["OwnedTargets"]


@attrs.define(kw_only=True)
class OwnedTargets:
    """Targets that the local instance owns or holds the share right of.

    The prober reads its plan from here.

    Parameters
    ----------
    name : str
        Name of the local instance.
    owners : OwnershipTable
        Owners in the view of the local instance.
    holds_majority : callable
        Returns whether the local instance holds the majority lease of its view.
    read_digest : callable
        Returns the digest that the lease covers; 0 if the local instance is not in
        its view, because it is leaving or was replaced.
    shares : ShareRights
        Share rights of the local instance.
    asked : RequestedTargets
        Targets for which peers have requested evidence.
    """

    name: str
    owners: OwnershipTable
    holds_majority: Callable[[], bool]
    read_digest: Callable[[], int]
    shares: ShareRights
    asked: RequestedTargets = attrs.field(factory=RequestedTargets)
    _digest: int = attrs.field(default=0, init=False)
    _checked_at: float = attrs.field(default=-math.inf, init=False)
    _had_lease: bool = attrs.field(default=False, init=False)
    _targets: Mapping[str, Target] = attrs.field(factory=dict, init=False)
    _services: Mapping[str, str] = attrs.field(factory=dict, init=False)
    _owned: Mapping[str, Target] = attrs.field(factory=dict, init=False)

    def update(self, configuration: Configuration, digest: int) -> None:
        """Set the configuration and read the owners in force.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.
        digest : int
            Digest of the view and version from which the owners were derived.
        """
        services = configuration.services.values()
        self._digest = digest
        self._checked_at = -math.inf
        self._targets = {t.name: t for s in services for t in s.targets}
        self._services = {t.name: s.name for s in services for t in s.targets}
        owned = self.owners.list_owned(self.name)
        self._owned = {n: self._targets[n] for n in owned if n in self._targets}

    def find_service(self, target: str) -> str:
        """Return the service of a target, or an empty string if it is unknown."""
        return self._services.get(target, "")

    def list_targets(self, service: str) -> list[str]:
        """Return the names of all targets of a service."""
        return [name for name, each in self._services.items() if each == service]

    def list_owned(self) -> Iterable[Target]:
        """Return the targets that the local instance owns."""
        return self._owned.values()

    def list_shared(self, now: float) -> Iterable[Target]:
        """Return the targets that are held by share right but not owned."""
        return [
            self._targets[name]
            for name in self.shares.list_held(now)
            if name in self._targets and name not in self._owned
        ]

    def is_requested(self, target: str, now: float) -> bool:
        """Return whether a peer recently requested evidence about a target."""
        return self.asked.is_requested(target, now)

    def holds_lease(self, target: str, now: float) -> bool:
        """Return whether the local instance holds the lease of a target.

        Owners are derived from the view and the version, which the majority lease
        covers, so no two instances hold the lease of one target. If the view has
        changed since the owners were derived, the lease covers other owners and
        does not count.
        """
        if target not in self._owned:
            return False
        if now != self._checked_at:
            # The result of one check is used for all targets of a tick.
            self._checked_at = now
            self._had_lease = self.holds_majority()
        return self._had_lease and self.read_digest() == self._digest

    def holds_share(self, target: str, now: float) -> bool:
        """Return whether the local instance holds the share right of a target."""
        return self.read_digest() != 0 and self.shares.holds(target, now)
