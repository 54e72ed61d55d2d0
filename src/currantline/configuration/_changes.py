"""Changes of which a patch consists.

In YAML and JSON a change is ``{"set": path, "value": value}`` or
``{"remove": path}``. The paths are ``<field>``, ``services/<service>``,
``services/<service>/<field>``, ``services/<service>/targets/<target>`` and
``services/<service>/routes/<route>``.
"""

import copy
import enum
from collections.abc import Iterable
from typing import Any

import attrs

from currantline.configuration._model import Configuration, Service
from currantline.configuration._parse import (
    build_configuration,
    build_service,
    render_configuration,
    render_service,
)
from currantline.exceptions import ChangeError, ConfigurationError

__all__ = [
    "Change",
    "Group",
    "RemoveMember",
    "RemoveService",
    "SetField",
    "SetMember",
    "SetService",
    "SetServiceField",
    "apply_changes",
    "compute_changes",
    "parse_changes",
    "render_change",
]


class Group(enum.Enum):
    """Groups of named members of a service."""

    TARGETS = "targets"
    ROUTES = "routes"


GROUP_NAMES = frozenset(group.value for group in Group)
# The version is derived from the log, and services are set individually.
FIXED_FIELDS = frozenset({"version", "services"})


@attrs.frozen(kw_only=True)
class SetField:
    """Set a field of the configuration."""

    field: str
    value: Any


@attrs.frozen(kw_only=True)
class SetService:
    """Add a service or replace it completely."""

    service: str
    value: Any


@attrs.frozen(kw_only=True)
class RemoveService:
    """Remove a service."""

    service: str


@attrs.frozen(kw_only=True)
class SetServiceField:
    """Set a field of a service."""

    service: str
    field: str
    value: Any


@attrs.frozen(kw_only=True)
class SetMember:
    """Add a target or route to a service, or replace it completely."""

    service: str
    group: Group
    name: str
    value: Any


@attrs.frozen(kw_only=True)
class RemoveMember:
    """Remove a target or route from a service."""

    service: str
    group: Group
    name: str


Change = (
    SetField | SetService | RemoveService | SetServiceField | SetMember | RemoveMember
)


def parse_changes(body: Any) -> tuple[Change, ...]:
    """Parse the body of a patch.

    Raises
    ------
    ChangeError
        If the body is not a list of changes.
    """
    if not isinstance(body, list | tuple) or not body:
        raise ChangeError("a list of changes is required")
    return tuple(_parse_change(index, item) for index, item in enumerate(body))


def render_change(change: Change) -> dict[str, Any]:
    """Return the YAML and JSON form of a change, inverse to `parse_changes`."""
    match change:
        case SetField():
            return {"set": change.field, "value": change.value}
        case SetService():
            return {"set": f"services/{change.service}", "value": change.value}
        case RemoveService():
            return {"remove": f"services/{change.service}"}
        case SetServiceField():
            path = f"services/{change.service}/{change.field}"
            return {"set": path, "value": change.value}
    path = f"services/{change.service}/{change.group.value}/{change.name}"
    if isinstance(change, RemoveMember):
        return {"remove": path}
    return {"set": path, "value": change.value}


def apply_changes(
    configuration: Configuration, changes: Iterable[Change]
) -> Configuration:
    """Return the configuration with all changes applied and the same version.

    Only services that a change refers to are rebuilt.

    Raises
    ------
    ConfigurationError
        If a change refers to something that does not exist, or the result is invalid.
    """
    fields: dict[str, Any] = {}
    documents: dict[str, Any] = {}
    services = dict(configuration.services)
    for change in changes:
        if isinstance(change, SetField):
            fields[change.field] = change.value
        elif isinstance(change, SetService):
            # Later changes modify the document, but the record must stay unchanged.
            documents[change.service] = copy.copy(change.value)
        elif isinstance(change, RemoveService):
            _get_service_document(services, documents, change.service)
            documents.pop(change.service, None)
            services.pop(change.service, None)
        else:
            document = _get_service_document(services, documents, change.service)
            _apply_to_service(document, change)
    for name, document in documents.items():
        services[name] = build_service(name, document, source="patch")
    document_fields = {**_render_fields(configuration), **fields}
    return attrs.evolve(
        build_configuration(document_fields, source="patch"), services=services
    )


def compute_changes(old: Configuration, new: Configuration) -> list[Change]:
    """Return the changes that turn one configuration into another.

    Versions are not compared.
    """
    before, after = _render_fields(old), _render_fields(new)
    changes: list[Change] = [
        SetField(field=field, value=value)
        for field, value in after.items()
        if field not in FIXED_FIELDS and before[field] != value
    ]
    for name in sorted(old.services.keys() - new.services.keys()):
        changes.append(RemoveService(service=name))
    for name in sorted(new.services):
        changes.extend(_compare_services(old.services.get(name), new.services[name]))
    return changes


def _parse_change(index: int, item: Any) -> Change:
    keys = set(item) if isinstance(item, dict) else set()
    operation = "set" if "set" in keys else "remove"
    if keys != ({"set", "value"} if operation == "set" else {"remove"}):
        raise ChangeError(
            f"change {index}: keys 'set' and 'value', or 'remove', are required"
        )
    path = item[operation]
    parts = path.split("/") if isinstance(path, str) else []
    change = _build_change(operation, parts, item.get("value"))
    if change is None or not all(parts):
        raise ChangeError(f"change {index}: {path!r} cannot be {operation}")
    return change


def _build_change(operation: str, parts: list[str], value: Any) -> Change | None:
    match operation, parts:
        case "set", [field] if field not in FIXED_FIELDS:
            return SetField(field=field, value=value)
        case "set", ["services", service]:
            return SetService(service=service, value=value)
        case "remove", ["services", service]:
            return RemoveService(service=service)
        case "set", ["services", service, field] if field not in GROUP_NAMES:
            return SetServiceField(service=service, field=field, value=value)
        case "set", ["services", service, group, name] if group in GROUP_NAMES:
            return SetMember(
                service=service, group=Group(group), name=name, value=value
            )
        case "remove", ["services", service, group, name] if group in GROUP_NAMES:
            return RemoveMember(service=service, group=Group(group), name=name)
    return None


def _get_service_document(
    services: dict[str, Service], documents: dict[str, Any], name: str
) -> Any:
    if name not in documents:
        if name not in services:
            raise ConfigurationError(
                "no such service", source="patch", path=f"services.{name}"
            )
        documents[name] = render_service(services[name])
    return documents[name]


def _apply_to_service(
    document: Any, change: SetServiceField | SetMember | RemoveMember
) -> None:
    path = f"services.{change.service}"
    if not isinstance(document, dict):
        raise ConfigurationError("a mapping is required", source="patch", path=path)
    if isinstance(change, SetServiceField):
        document[change.field] = change.value
        return
    group = change.group.value
    members = document.get(group, [])
    if not isinstance(members, list):
        raise ConfigurationError(
            "a list is required", source="patch", path=f"{path}.{group}"
        )
    document[group] = _apply_to_members(
        members, change, f"{path}.{group}.{change.name}"
    )


def _apply_to_members(
    members: list[Any], change: SetMember | RemoveMember, path: str
) -> list[Any]:
    names = [m.get("name") if isinstance(m, dict) else None for m in members]
    found = names.index(change.name) if change.name in names else None
    if isinstance(change, RemoveMember):
        if found is None:
            raise ConfigurationError("does not exist", source="patch", path=path)
        return members[:found] + members[found + 1 :]
    if not isinstance(change.value, dict) or "name" in change.value:
        raise ConfigurationError(
            "a mapping without a name is required", source="patch", path=path
        )
    member = {"name": change.name, **change.value}
    if found is None:
        return [*members, member]
    return [*members[:found], member, *members[found + 1 :]]


def _render_fields(configuration: Configuration) -> dict[str, Any]:
    return render_configuration(attrs.evolve(configuration, services={}))


def _compare_services(old: Service | None, new: Service) -> list[Change]:
    after = render_service(new)
    if old is None:
        return [SetService(service=new.name, value=after)]
    if old == new:
        return []
    before = render_service(old)
    changes: list[Change] = [
        SetServiceField(service=new.name, field=field, value=value)
        for field, value in after.items()
        if field not in GROUP_NAMES and before[field] != value
    ]
    for group in Group:
        changes.extend(_compare_members(new.name, group, before, after))
    # Setting members individually cannot reorder them.
    if apply_changes(_wrap_service(old), changes) != _wrap_service(new):
        return [SetService(service=new.name, value=after)]
    return changes


def _wrap_service(service: Service) -> Configuration:
    return Configuration(version=1, services={service.name: service})


def _compare_members(
    service: str, group: Group, before: dict[str, Any], after: dict[str, Any]
) -> list[Change]:
    old = {member["name"]: member for member in before[group.value]}
    new = {member["name"]: member for member in after[group.value]}
    changes: list[Change] = [
        RemoveMember(service=service, group=group, name=name)
        for name in old
        if name not in new
    ]
    for name, member in new.items():
        if old.get(name) != member:
            value = {key: item for key, item in member.items() if key != "name"}
            changes.append(
                SetMember(service=service, group=group, name=name, value=value)
            )
    return changes
