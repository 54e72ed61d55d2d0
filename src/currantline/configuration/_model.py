"""Data model of a configuration."""

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
    """A server that requests are forwarded to.

    Parameters
    ----------
    name : str
        Name, unique in the configuration.
    address : str
        IP address and port.
    data_centre : str
        Data centre of the target.
    slots : int
        Maximum number of requests that the target processes concurrently.
    connections : int
        Maximum number of connections that the target accepts from all instances
        together.
    """

    name: str
    address: str = attrs.field(validator=check_address)
    data_centre: str
    slots: int = attrs.field(validator=check_at_least(1))
    connections: int = attrs.field(default=250, validator=check_at_least(1))


@attrs.frozen(kw_only=True)
class Route:
    """Requests of a service that are handled alike.

    Parameters
    ----------
    name : str
        Name, unique in the service.
    method : str
        HTTP method, or ``*`` for all.
    path_prefix : str
        Prefix of the path, relative to the service's root.
    priority : Priority
        Priority class; deferrable requests may wait.
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
    """A named pool of targets and its routes.

    Parameters
    ----------
    name : str
        Name, unique in the configuration.
    targets : tuple of Target
        Targets of the pool.
    routes : tuple of Route
        Configured routes; other requests are interactive, and idempotent only if
        their method is safe.
    timeout_ms : float
        Timeout in ms of a request that specifies none.
    queue_limit : int
        Maximum number of requests queued at one instance.
    slots_per_owner : int
        Number of slots of one data centre that one owner is intended to manage.
    probe_budget : float
        Maximum number of probes per second for each target, over all instances.
    retry_ratio : float
        Maximum ratio of retries to first attempts.
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
            Path relative to the service's root.

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
        Number that increases by one with each accepted patch.
    schema_level : int
        Highest schema level whose fields may be used.
    max_instances : int
        Maximum number of instances that may run at the same time.
    services : mapping of str to Service
        Services by name.
    """

    version: int = attrs.field(validator=check_at_least(0))
    schema_level: int = 1
    max_instances: int = attrs.field(default=32, validator=check_at_least(1))
    services: Mapping[str, Service] = attrs.field(factory=dict)
