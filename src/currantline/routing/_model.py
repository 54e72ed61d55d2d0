"""Values that make up a route table."""

import attrs

__all__ = ["CallerLimits", "Route", "RoutedService", "WeightedService"]


@attrs.frozen(kw_only=True)
class WeightedService:
    """Part of a route's requests that one service gets.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Size of the part relative to the other parts of the route.
    """

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host and path prefix, which are treated alike.

    Parameters
    ----------
    name : str
        Name, unique in the table.
    host : str
        Value of the ``Host`` header.
    prefix : str
        Start of the path; begins and ends with a slash.
    is_idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time that a caller is kept waiting, in milliseconds.
    objective_ms : float
        Time within which an answer has its full value, in milliseconds.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Most targets that one request may be sent to.
    shares : tuple of Share
        Services of the route.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    weighted_services: tuple[WeightedService, ...]


@attrs.frozen(kw_only=True)
class RoutedService:
    """A pool of targets.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the targets' health check.
    max_connections : int
        Connections that one target accepts from all instances together.
    """

    name: str
    health_path: str
    max_connections: int


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how slowly.

    The defaults hold until a configuration is known.

    Parameters
    ----------
    head_bytes : int
        Largest request line and headers.
    body_bytes : int
        Largest request body.
    head_timeout_ms : float
        Longest time from the first byte of a request to the end of its headers.
    idle_timeout_ms : float
        Longest time between two requests on a connection.
    """

    head_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0
