"""Rules for a configuration beyond the types of its fields."""

import re
from collections.abc import Iterable, Iterator

from currantline.configuration._model import Configuration, Service
from currantline.configuration._parse import check_unique_targets
from currantline.configuration._record import Reason, Refused
from currantline.exceptions import ConfigurationError

__all__ = ["MAX_BODY_BYTES", "find_violation"]

# Names are used in URL paths and in the paths of patches.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")

# The configuration service accepts values of up to 1 MB.
MAX_BODY_BYTES = 1_000_000
# About three times the design size of 1,300 services and 6,700 targets.
MAX_SERVICES = 4_000
MAX_TARGETS = 20_000
MAX_MEMBERS = 1_000
MAX_SLOTS = 10_000
MAX_INSTANCES = 1_000
MAX_QUEUE_LENGTH = 1_000_000
MAX_PROBES_PER_SECOND = 1_000
MAX_TIMEOUT_MS = 3_600_000
MAX_RETRY_RATIO = 1
# Each instance keeps at least this many connections to a target.
MIN_CONNECTIONS_PER_INSTANCE = 2


def find_violation(
    configuration: Configuration, before: Configuration | None = None
) -> Refused | None:
    """Return why a configuration must be refused, or None.

    Parameters
    ----------
    configuration : Configuration
        Configuration whose fields have the right types.
    before : Configuration, optional
        Configuration in force; services that are the same object in both are not
        checked again.
    """
    services = _list_changed_services(configuration, before)
    for detail in _list_errors(configuration, services):
        return Refused(reason=Reason.INVALID, detail=detail)
    for detail in _list_exceeded_limits(configuration, services):
        return Refused(reason=Reason.LIMIT_EXCEEDED, detail=detail)
    return None


def _list_changed_services(
    configuration: Configuration, before: Configuration | None
) -> list[Service]:
    services = configuration.services.values()
    # The minimum number of connections of a target depends on max_instances.
    if before is None or before.max_instances != configuration.max_instances:
        return list(services)
    return [s for s in services if before.services.get(s.name) is not s]


def _list_errors(
    configuration: Configuration, services: Iterable[Service]
) -> Iterator[str]:
    if configuration.version < 1:
        yield "version: the first version is 1"
    if configuration.schema_level < 1:
        yield "schema_level: the first level is 1"
    try:
        check_unique_targets(configuration)
    except ConfigurationError as error:
        yield f"{error.path}: {error.message}"
    for service in services:
        routes = [route.name for route in service.routes]
        targets = [target.name for target in service.targets]
        yield from _check_names(f"services.{service.name}", [service.name])
        yield from _check_names(f"services.{service.name}.targets", targets)
        yield from _check_names(f"services.{service.name}.routes", routes)
        if len(set(routes)) < len(routes):
            yield f"services.{service.name}.routes: a name is used twice"


def _check_names(path: str, names: Iterable[str]) -> Iterator[str]:
    for name in names:
        if not NAME_PATTERN.fullmatch(name):
            yield f"{path}: {name!r} is not a name"


def _list_exceeded_limits(
    configuration: Configuration, services: Iterable[Service]
) -> Iterator[str]:
    targets = sum(len(s.targets) for s in configuration.services.values())
    yield from _check_maximum("services", len(configuration.services), MAX_SERVICES)
    yield from _check_maximum("targets", targets, MAX_TARGETS)
    yield from _check_maximum(
        "max_instances", configuration.max_instances, MAX_INSTANCES
    )
    minimum = MIN_CONNECTIONS_PER_INSTANCE * configuration.max_instances
    for service in services:
        yield from _check_service_limits(service, f"services.{service.name}", minimum)


def _check_service_limits(service: Service, path: str, minimum: int) -> Iterator[str]:
    yield from _check_maximum(f"{path}.targets", len(service.targets), MAX_MEMBERS)
    yield from _check_maximum(f"{path}.routes", len(service.routes), MAX_MEMBERS)
    yield from _check_maximum(f"{path}.timeout_ms", service.timeout_ms, MAX_TIMEOUT_MS)
    yield from _check_maximum(
        f"{path}.queue_limit", service.queue_limit, MAX_QUEUE_LENGTH
    )
    yield from _check_maximum(
        f"{path}.probe_budget", service.probe_budget, MAX_PROBES_PER_SECOND
    )
    yield from _check_maximum(
        f"{path}.retry_ratio", service.retry_ratio, MAX_RETRY_RATIO
    )
    for target in service.targets:
        target_path = f"{path}.targets.{target.name}"
        yield from _check_maximum(f"{target_path}.slots", target.slots, MAX_SLOTS)
        if target.connections < minimum:
            yield (
                f"{target_path}.connections: {target.connections} is below {minimum}, "
                f"{MIN_CONNECTIONS_PER_INSTANCE} for each of max_instances"
            )


def _check_maximum(path: str, value: float, maximum: float) -> Iterator[str]:
    if value > maximum:
        yield f"{path}: {value:g} is above the maximum of {maximum:g}"
