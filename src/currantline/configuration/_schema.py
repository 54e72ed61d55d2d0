"""Configuration fields and the schema level that introduced each of them."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from currantline.configuration._model import Configuration, Route, Service, Target

__all__ = ["RELEASE_SCHEMA", "Schema"]

FIRST_LEVEL = 1
GROUPS = {"targets": "target", "routes": "route"}


@attrs.frozen(kw_only=True)
class Schema:
    """Configuration fields that a release knows.

    A later level may add fields, but neither record kinds nor path forms, because
    an older release could not distinguish them from a malformed record.

    Parameters
    ----------
    known_level : int
        Highest level that the release knows.
    levels : mapping of str to int
        Level of each field by kind and name, such as ``service.timeout_ms``.
    """

    known_level: int
    levels: Mapping[str, int]

    def allows(self, kind: str, field: str, level: int) -> bool:
        """Return whether a field may be used at a level.

        An unknown field and a field above the level are treated alike, so that
        older and newer releases reach the same verdict.
        """
        return self.levels.get(f"{kind}.{field}", level + 1) <= level

    def find_disallowed_field(self, document: Mapping[str, Any], level: int) -> str:
        """Return the path of the first field above a level, or an empty string."""
        for path, kind, fields in walk_document(document):
            for field in fields:
                if not self.allows(kind, str(field), level):
                    return "/".join((*path, str(field)))
        return ""

    def find_disallowed_service_field(self, document: Any, level: int) -> str:
        """Return the path of the first field of a service above a level, or ""."""
        for path, kind, fields in walk_service((), document):
            for field in fields:
                if not self.allows(kind, str(field), level):
                    return "/".join((*path, str(field)))
        return ""

    def restrict(self, document: dict[str, Any], level: int) -> dict[str, Any]:
        """Remove the fields above a level from a document, in place.

        A newer release fills these fields with defaults, which an older release does
        not have.
        """
        for _, kind, fields in walk_document(document):
            for field in [f for f in fields if not self.allows(kind, f, level)]:
                del fields[field]
        return document


def walk_document(document: Any) -> Iterator[tuple[tuple[str, ...], str, Any]]:
    """Yield path, kind and fields of each mapping in a configuration document."""
    yield (), "configuration", document
    services = document.get("services")
    if not isinstance(services, Mapping):
        return
    for name, service in services.items():
        yield from walk_service(("services", str(name)), service)


def walk_service(
    path: tuple[str, ...], service: Any
) -> Iterator[tuple[tuple[str, ...], str, Any]]:
    """Yield path, kind and fields of a service and of its targets and routes."""
    if not isinstance(service, Mapping):
        return
    yield path, "service", service
    for group, kind in GROUPS.items():
        members = service.get(group)
        if not isinstance(members, list | tuple):
            continue
        for index, member in enumerate(members):
            if isinstance(member, Mapping):
                yield (*path, group, str(index)), kind, member


def _build_levels() -> dict[str, int]:
    classes = {
        "configuration": Configuration,
        "service": Service,
        "target": Target,
        "route": Route,
    }
    levels = {
        f"{kind}.{field.name}": FIRST_LEVEL
        for kind, model in classes.items()
        for field in attrs.fields(model)
    }
    # The name of a service is its key in the document, not one of its fields.
    del levels["service.name"]
    return levels


RELEASE_SCHEMA = Schema(known_level=FIRST_LEVEL, levels=_build_levels())
