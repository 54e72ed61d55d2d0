"""Values that make up a configuration."""

import enum
from collections.abc import Mapping

import attrs

from currantline.validators import check_address, check_at_least

__all__ = ["Configuration", "Priority", "Route", "Service", "Target"]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Priority(enum.Enum):
    """Priority class of a request."""

    INTERACTIVE = "interactive"
    DEFERRABLE = "deferrable"


@attrs.frozen(kw_only=True)
class Target:
    """A server that requests are carried to.

    Parameters
    ----------
    name : str
        Name, unique in the configuration.
    address : str
        IP number and port.
    data_centre : str
        Data centre that the target stands in.
    slots : int
        Requests that the target works on at the same time.
    connections : int
        Connections that the target accepts from all instances together.
    """

    name: str
    address: str = attrs.field(validator=check_address)
    data_centre: str
    slots: int = attrs.field(validator=check_at_least(1))
    connections: int = attrs.field(default=250, validator=check_at_least(1))


@attrs.frozen(kw_only=True)
class Route:
    """Requests of a service that are treated alike.

    Parameters
    ----------
    name : str
        Name, unique in the service.
    method : str
        HTTP method, or ``*`` for all.
    path_prefix : str
        Start of the path, from the service's root.
    priority : Priority
        Whether the requests may wait.
    idempotent : bool
        Whether a request may be sent more than once.
    """

    name: str
    method: str = "*"
    path_prefix: str = "/"
    priority: Priority = Priority.INTERACTIVE
    idempotent: bool = False


SAFE_ROUTE = Route(name="other-safe", idempotent=True)
UNSAFE_ROUTE = Route(name="other", idempotent=False)


@attrs.frozen(kw_only=True)
class Service:
    """A named pool of targets and the routes that lead to it.

    Parameters
    ----------
    name : str
        Name, unique in the configuration.
    targets : tuple of Target
        The pool.
    routes : tuple of Route
        Known routes; other requests are interactive, and idempotent only with a
        safe method.
    timeout_ms : float
        Deadline of a request that names none, in milliseconds.
    queue_limit : int
        Requests that may wait at one instance.
    slots_per_owner : int
        Slots of one data centre that one owner is meant to look after.
    probe_budget : float
        Probes per second for each target, over all instances.
    retry_ratio : float
        Retries per first attempt, at most.
    """

    name: str
    targets: tuple[Target, ...]
    routes: tuple[Route, ...] = ()
    timeout_ms: float = attrs.field(default=5000.0, validator=check_at_least(1))
    queue_limit: int = attrs.field(default=1000, validator=check_at_least(1))
    slots_per_owner: int = attrs.field(default=40, validator=check_at_least(1))
    probe_budget: float = attrs.field(default=2.0, validator=check_at_least(0))
    retry_ratio: float = attrs.field(default=0.1, validator=check_at_least(0))

    def match_route(self, method: str, path: str) -> Route:
        """Return the route of a request.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path from the service's root.

        Returns
        -------
        Route
            The route with the longest matching prefix.
        """
        matching = [
            route
            for route in self.routes
            if route.method in ("*", method) and path.startswith(route.path_prefix)
        ]
        if matching:
            return max(matching, key=lambda route: len(route.path_prefix))
        return SAFE_ROUTE if method in SAFE_METHODS else UNSAFE_ROUTE


@attrs.frozen(kw_only=True)
class Configuration:
    """All services at one version.

    Parameters
    ----------
    version : int
        Number that rises by one with each accepted patch.
    schema_level : int
        Highest level of fields that may be used.
    max_instances : int
        Most instances that may run at the same time.
    services : mapping of str to Service
        Services by name.
    """

    version: int = attrs.field(validator=check_at_least(0))
    schema_level: int = 1
    max_instances: int = attrs.field(default=32, validator=check_at_least(1))
    services: Mapping[str, Service] = attrs.field(factory=dict)
