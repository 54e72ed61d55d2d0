"""Which targets this instance may probe."""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from currantline.configuration import Configuration, Target
from currantline.directory import OwnershipTable

__all__ = ["OwnedTargets"]


@attrs.define
class OwnedTargets:
    """Targets that this instance owns, for the prober.

    Parameters
    ----------
    name : str
        Name of this instance.
    owners : OwnershipTable
        Owners in this instance's view.
    holds_majority : callable
        Returns whether this instance holds the majority lease of its view.
    """

    name: str
    owners: OwnershipTable
    holds_majority: Callable[[], bool]
    _targets: Mapping[str, Target] = attrs.field(factory=dict, init=False)
    _services: Mapping[str, str] = attrs.field(factory=dict, init=False)
    _owned: Mapping[str, Target] = attrs.field(factory=dict, init=False)
    _held: tuple[float, bool] = attrs.field(default=(-math.inf, False), init=False)

    def update(self, configuration: Configuration) -> None:
        """Take over the configuration and the owners in force."""
        services = configuration.services.values()
        self._targets = {t.name: t for s in services for t in s.targets}
        self._services = {t.name: s.name for s in services for t in s.targets}
        owned = self.owners.list_owned(self.name)
        self._owned = {t: self._targets[t] for t in owned if t in self._targets}

    def find_service(self, target: str) -> str:
        """Return the service of a target, empty for an unknown one."""
        return self._services.get(target, "")

    def list_owned(self) -> Iterable[Target]:
        """Return the targets that this instance owns."""
        return self._owned.values()

    def holds_lease(self, target: str, now: float) -> bool:
        """Return whether this instance holds the lease of a target.

        Owners follow from the view and the version, which the majority lease
        covers, so no two instances hold the lease of one target.
        """
        if target not in self._owned:
            return False
        # The check looks at every known instance, and a tick of the prober asks for
        # all owned targets at one instant. A lease changes hands no faster than in
        # view_lease_ms, so the answer holds for that instant.
        if self._held[0] != now:
            self._held = (now, self.holds_majority())
        return self._held[1]

    def holds_share(self, target: str, now: float) -> bool:
        """Return False: no instance probes without the lease.

        Without a majority, targets are used on the evidence of their answers.
        """
        return False
