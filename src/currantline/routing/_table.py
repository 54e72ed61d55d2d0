"""Route table and route lookup."""

import random
from collections.abc import Mapping

import attrs

from currantline.routing._model import CallerLimits, Route, RoutedService

__all__ = ["RouteTable", "choose_service"]


@attrs.frozen(kw_only=True)
class RouteTable:
    """Routes and services of one configuration version.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : tuple of Route
        All routes.
    services : mapping of str to RoutedService
        Services by name.
    limits : CallerLimits
        Limits for caller requests.
    unknown_kinds : mapping of str to str
        Kind as published, by name of the route, of the routes whose kind is not known
        and that are therefore served as non-idempotent.
    has_uploads : bool
        Whether callers send large bodies on some route.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, RoutedService]
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    unknown_kinds: Mapping[str, str] = attrs.field(factory=dict)
    has_uploads: bool = False
    _by_host: Mapping[str, tuple[Route, ...]] = attrs.field(init=False, eq=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        # The longest matching prefix wins.
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "_by_host", ordered)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route that matches a request, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header, with or without a port.
        path : str
            Path of the request without the query string.
        """
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.partition(":")[0], ())
        return next((r for r in routes if path.startswith(r.prefix)), None)


def choose_service(route: Route, rng: random.Random) -> str:
    """Return a service of the route, drawn at random by weight."""
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    weights = [share.weight for share in route.weighted_services]
    return rng.choices(route.weighted_services, weights)[0].service
