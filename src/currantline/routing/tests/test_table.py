"""Tests of the route table."""

import random

from currantline.routing import (
    RequestAgeEstimator,
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
    choose_service,
)


def make_route(name: str, prefix: str, *weighted_services: tuple[str, float]) -> Route:
    """Return a route for host ``h.example``."""
    pairs = weighted_services or (("s", 1.0),)
    return Route(
        name=name,
        host="h.example",
        prefix=prefix,
        is_idempotent=True,
        timeout_ms=1000,
        objective_ms=400,
        priority=1,
        max_attempts=2,
        weighted_services=tuple(WeightedService(service=s, weight=w) for s, w in pairs),
    )


def make_table(*routes: Route) -> RouteTable:
    """Return a table with one service."""
    service = RoutedService(name="s", health_path="/health", max_connections=10)
    return RouteTable(version=1, routes=routes, services={"s": service})


class TestRouteTable:
    """Route lookup."""

    def test_longest_prefix(self) -> None:
        """Guards against a shorter prefix that shadows a longer one."""
        table = make_table(make_route("a", "/"), make_route("b", "/x/y/"))
        found = [table.find("h.example", path) for path in ("/x/y/z", "/x/y", "/q")]
        assert [route.name for route in found if route] == ["b", "a", "a"]

    def test_host(self) -> None:
        """Guards against host matching that depends on case or on the port."""
        table = make_table(make_route("a", "/a/"))
        assert table.find("H.Example:8080", "/a/b") is not None
        assert table.find("other.example", "/a/b") is None
        assert table.find("h.example", "/b/") is None


class TestChooseService:
    """Traffic split of a route."""

    def test_weights(self) -> None:
        """Guards against a split that ignores the weights."""
        route = make_route("a", "/", ("s", 90.0), ("t", 10.0))
        rng = random.Random(1)
        drawn = [choose_service(route, rng) for _ in range(3000)]
        assert 0.85 < drawn.count("s") / len(drawn) < 0.95


class TestRequestAgeEstimator:
    """Age of requests that callers retry."""

    def test_returning_caller(self) -> None:
        """Guards against a retried request that counts as new."""
        estimator = RequestAgeEstimator()
        assert estimator.estimate_age("r", 3000) == 0.0
        assert estimator.estimate_age("r", 2990) == 0.0
        assert estimator.estimate_age("r", 2500) == 500.0
        assert estimator.estimate_age("other", 2500) == 0.0
