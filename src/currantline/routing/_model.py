"""Data model of the route table."""

import re
from typing import Any

import attrs

from currantline.exceptions import InvalidValueError
from currantline.validators import check_at_least, check_not_negative, check_positive

__all__ = ["CallerLimits", "Route", "RoutedService", "WeightedService"]

# Paths are sent in a request line.
PATH_PATTERN = re.compile(r"/[!-~]*")


def _check_path(instance: Any, attribute: "attrs.Attribute[str]", value: str) -> None:
    if not PATH_PATTERN.fullmatch(value):
        raise InvalidValueError(f"{value!r:.80} is not a path", path=attribute.name)


@attrs.frozen(kw_only=True)
class WeightedService:
    """Service of a route and its weight in the traffic split.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other services of the route.
    """

    service: str
    weight: float = attrs.field(validator=check_not_negative)


def _check_split(
    instance: Any,
    attribute: "attrs.Attribute[tuple[WeightedService, ...]]",
    value: tuple[WeightedService, ...],
) -> None:
    if len(value) > 1 and not any(part.weight > 0.0 for part in value):
        raise InvalidValueError("no service has a weight", path=attribute.name)


@attrs.frozen(kw_only=True)
class Route:
    """Rules for the requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route, unique in the table.
    host : str
        Value of the ``Host`` header.
    prefix : str
        Path prefix; begins and ends with a slash.
    is_idempotent : bool
        Whether a request may be executed more than once.
    timeout_ms : float
        Request timeout in milliseconds.
    objective_ms : float
        Latency objective in milliseconds.
    priority : int
        Priority; 0 is the highest.
    max_attempts : int
        Maximum number of targets that one request is sent to.
    shares : tuple of Share
        Services among which the requests are split.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_ms: float = attrs.field(validator=check_positive)
    objective_ms: float = attrs.field(validator=check_positive)
    priority: int
    max_attempts: int
    weighted_services: tuple[WeightedService, ...] = attrs.field(validator=_check_split)


@attrs.frozen(kw_only=True)
class RoutedService:
    """Service that a pool of targets provides.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the targets' health check.
    max_connections : int or None
        Maximum number of connections to one target from all instances together, None
        without a limit.
    warmup_ms : float
        Maximum duration of the warm-up of a target in milliseconds, 0 for none.
    warmup_per_s : float or None
        Requests per second that a target tolerates while it warms up, None if any.
    """

    name: str
    health_path: str = attrs.field(validator=_check_path)
    max_connections: int | None
    warmup_ms: float = attrs.field(default=0.0, validator=check_not_negative)
    warmup_per_s: float | None = attrs.field(
        default=None, validator=attrs.validators.optional(check_not_negative)
    )


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size and time limits for caller requests.

    The defaults apply until a configuration is known.

    Parameters
    ----------
    head_bytes : int
        Maximum size of the request line and headers.
    body_bytes : int
        Maximum size of the request body.
    head_timeout_ms : float
        Maximum time from the first byte of a request to the end of its headers.
    idle_timeout_ms : float
        Maximum idle time between two requests on a connection.
    """

    head_bytes: int = attrs.field(default=16_384, validator=check_at_least(1))
    body_bytes: int = attrs.field(default=64 * 1024 * 1024, validator=check_at_least(0))
    head_timeout_ms: float = attrs.field(default=3_000.0, validator=check_positive)
    idle_timeout_ms: float = attrs.field(default=15_000.0, validator=check_positive)
