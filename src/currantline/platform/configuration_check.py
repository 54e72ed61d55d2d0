"""Check of a configuration before it is sent to the platform's store."""

import json
import math
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from currantline.exceptions import MALFORMED_DATA_ERRORS
from currantline.platform._document_differences import Difference, compare_documents
from currantline.platform._document_probes import (
    LIMIT_FIELDS,
    find_refusal,
    locate_refusals,
)
from currantline.platform._documents import ROUTE_KINDS
from currantline.routing import CallerLimits

__all__ = [
    "ERROR",
    "MAX_DOCUMENT_BYTES",
    "WARNING",
    "ConfigurationCheck",
    "Difference",
    "Finding",
    "check_configuration",
]

ERROR, WARNING = "error", "warning"

# Room for tens of thousands of routes. It bounds the memory and time of a check, which
# are highest for a document of empty objects.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
# Paths repeat the keys, so that long keys would multiply in the findings.
MAX_KEY_CHARACTERS = 256
# A valid configuration has six levels. The bound stays clear of the recursion limit.
MAX_DEPTH = 64
# Keys in the longest path that the decoder reads, routes.r1.trafficSplit.0.weight.
MAX_PATH_KEYS = 5

VERSION_PATTERN = re.compile(r"[0-9a-fA-F]{8}")
ROUTE_NUMBERS = ("timeoutMs", "targetLatencyMs", "priority", "maxAttempts")
SERVICE_NUMBERS = ("maxConnections", "warmupS", "warmupPerS")
# Shows bytes and milliseconds in full instead of with an exponent.
NUMBER_FORMAT = ".15g"


@attrs.frozen(kw_only=True)
class Finding:
    """Fault of a configuration.

    Parameters
    ----------
    severity : str
        ``error`` or ``warning``.
    path : str
        Path of keys to the value, joined by dots; empty for the whole document.
    message : str
        What is wrong.
    """

    severity: str
    path: str
    message: str


@attrs.frozen(kw_only=True)
class ConfigurationCheck:
    """Result of a check.

    Parameters
    ----------
    findings : tuple of Finding
        Faults of the configuration.
    differences : tuple of Difference
        Differences from the version in force.
    """

    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] = ()

    @property
    def has_errors(self) -> bool:
        """Whether the configuration must not be sent."""
        return any(finding.severity == ERROR for finding in self.findings)


class _Table(dict[str, Any]):
    """JSON object that keeps the keys that occur more than once."""

    __slots__ = ("duplicates",)

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.duplicates: tuple[str, ...] = ()
        if len(self) < len(pairs):
            counts = Counter(key for key, _ in pairs)
            self.duplicates = tuple(key for key in counts if counts[key] > 1)


def check_configuration(
    data: bytes, in_force: bytes | None = None
) -> ConfigurationCheck:
    """Check a configuration, and compare it with the version in force if given.

    Parameters
    ----------
    data : bytes
        Document as it is to be stored.
    in_force : bytes or None
        Document in force.
    """
    document, fault = _load(data)
    findings = [fault] if fault else list(_check_document(data, document))
    if in_force is None:
        return ConfigurationCheck(findings=tuple(findings))
    old, old_fault = _load(in_force)
    if old_fault:
        message = f"the configuration in force: {old_fault.message}"
        findings.append(_error("", message))
    if fault or old_fault:
        return ConfigurationCheck(findings=tuple(findings))
    findings += _check_version_order(document, old)
    differences = tuple(compare_documents(old, document))
    return ConfigurationCheck(findings=tuple(findings), differences=differences)


def _error(path: str, message: str) -> Finding:
    return Finding(severity=ERROR, path=path, message=message)


def _warning(path: str, message: str) -> Finding:
    return Finding(severity=WARNING, path=path, message=message)


def _load(data: bytes) -> tuple[dict[str, Any], Finding | None]:
    if len(data) > MAX_DOCUMENT_BYTES:
        return {}, _error("", f"larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        document = json.loads(data.decode(), object_pairs_hook=_Table)
    except UnicodeDecodeError:
        return {}, _error("", "not UTF-8 text")
    except MALFORMED_DATA_ERRORS as error:
        return {}, _error("", f"not JSON: {error}")
    if not isinstance(document, dict):
        return {}, _error("", "a JSON object is required")
    excess = _find_excess(document)
    return (document, None) if excess is None else ({}, _error("", excess))


def _find_excess(document: Any) -> str | None:
    """Return which bound a document exceeds, None if it keeps all of them."""
    level = [document]
    for _ in range(MAX_DEPTH):
        tables = (value for value in level if isinstance(value, dict))
        if any(len(key) > MAX_KEY_CHARACTERS for table in tables for key in table):
            return f"a key has more than {MAX_KEY_CHARACTERS} characters"
        level = [
            item
            for value in level
            if isinstance(value, dict | list)
            for item in (value.values() if isinstance(value, dict) else value)
        ]
    return f"nested deeper than {MAX_DEPTH} levels" if level else None


def _check_document(data: bytes, document: dict[str, Any]) -> Iterator[Finding]:
    refusal = find_refusal(data.decode())
    refused = dict(locate_refusals(document)) if refusal is not None else {}
    if refusal is not None and not refused:
        refused[""] = refusal
    for path, reason in refused.items():
        yield _error(path, reason)
    others = (
        *_check_keys(document),
        *_check_version(document),
        *_check_routes(_read_tables(document, "routes"), document),
        *_check_services(document),
        *_check_limits(document.get("limits")),
    )
    # The reason of the decoder says enough about a path.
    yield from (finding for finding in others if finding.path not in refused)


def _read_tables(document: Mapping[str, Any], table: str) -> dict[str, dict[str, Any]]:
    """Return the entries of a table that are objects; others are refused."""
    entries = document.get(table)
    if not isinstance(entries, dict):
        return {}
    return {name: entry for name, entry in entries.items() if isinstance(entry, dict)}


def _check_keys(value: Any, path: tuple[str, ...] = ()) -> Iterator[Finding]:
    """Yield the keys that occur twice, of which the decoder uses the last."""
    if isinstance(value, _Table):
        for key in value.duplicates:
            yield _error(".".join((*path, key)), "duplicate key")
    if len(path) == MAX_PATH_KEYS - 1:
        return
    items: Iterable[tuple[Any, Any]] = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        if isinstance(item, dict | list):
            yield from _check_keys(item, (*path, str(key)))


def _check_version(document: Mapping[str, Any]) -> Iterator[Finding]:
    if "version" in document and _read_version(document) is None:
        yield _error("version", "eight hexadecimal digits are required")


def _read_version(document: Mapping[str, Any]) -> int | None:
    version = document.get("version")
    if not isinstance(version, str) or not VERSION_PATTERN.fullmatch(version):
        return None
    return int(version, 16)


def _check_version_order(
    document: Mapping[str, Any], old: Mapping[str, Any]
) -> Iterator[Finding]:
    version, in_force = _read_version(document), _read_version(old)
    if in_force is None:
        yield _error("version", "the version in force is not eight hexadecimal digits")
    elif version is not None and version <= in_force:
        message = f"{version:08x} is not above {in_force:08x}, which is in force"
        yield _error("version", message)


def _read_number(table: Mapping[str, Any], field: str) -> float | None:
    """Return a number, None if it is absent or not a finite number."""
    value = table.get(field)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if math.isfinite(number) else None


def _check_numbers(
    path: str, table: Mapping[str, Any], fields: tuple[str, ...]
) -> Iterator[Finding]:
    for field in fields:
        if table.get(field) is not None and _read_number(table, field) is None:
            yield _error(f"{path}.{field}", "a finite number is required")


def _check_order(
    path: str, table: Mapping[str, Any], lower: str, upper: str, *, at: str
) -> Iterator[Finding]:
    """Yield a finding at one of two fields if the upper is below the lower one."""
    low, high = _read_number(table, lower), _read_number(table, upper)
    if low is not None and high is not None and high < low:
        shown = f"{lower} {low:{NUMBER_FORMAT}}, {upper} {high:{NUMBER_FORMAT}}"
        yield _error(f"{path}.{at}", f"{upper} is below {lower}: {shown}")


def _check_at_least_one(
    path: str, table: Mapping[str, Any], field: str
) -> Iterator[Finding]:
    value = _read_number(table, field)
    if value is not None and value < 1:
        yield _error(f"{path}.{field}", f"{value:{NUMBER_FORMAT}} is below 1")


def _check_routes(
    routes: Mapping[str, dict[str, Any]], document: Mapping[str, Any]
) -> Iterator[Finding]:
    first: dict[tuple[str, str], str] = {}
    services = document.get("services")
    for name, route in routes.items():
        path = f"routes.{name}"
        host, prefix, kind = (route.get(key) for key in ("host", "prefix", "kind"))
        if host == "":
            yield _error(f"{path}.host", "an empty host never matches")
        if isinstance(prefix, str) and not (
            prefix.startswith("/") and prefix.endswith("/")
        ):
            yield _error(f"{path}.prefix", "must begin and end with a slash")
        if isinstance(host, str) and isinstance(prefix, str):
            earlier = first.setdefault((host.lower(), prefix), name)
            if earlier != name:
                message = f"never matches: same host and prefix as routes.{earlier}"
                yield _error(path, message)
        if isinstance(kind, str) and kind not in ROUTE_KINDS:
            message = f"unknown kind {kind!r:.80}, served as non-idempotent"
            yield _warning(f"{path}.kind", message)
        yield from _check_numbers(path, route, ROUTE_NUMBERS)
        yield from _check_order(
            path, route, "targetLatencyMs", "timeoutMs", at="timeoutMs"
        )
        yield from _check_at_least_one(path, route, "maxAttempts")
        yield from _check_split(path, route)
        for where, service in _list_services(path, route):
            if isinstance(services, dict) and service not in services:
                yield _error(where, f"{service!r:.80} is not in services")


def _list_parts(route: Mapping[str, Any]) -> list[tuple[int, dict[str, Any]]]:
    parts = route.get("trafficSplit")
    if not isinstance(parts, list):
        return []
    return [(i, part) for i, part in enumerate(parts) if isinstance(part, dict)]


def _list_services(path: str, route: Mapping[str, Any]) -> list[tuple[str, str]]:
    """Return the path and name of each service that a route uses."""
    found = [(f"{path}.service", route.get("service"))]
    if route.get("trafficSplit"):
        found = [
            (f"{path}.trafficSplit.{i}.service", part.get("service"))
            for i, part in _list_parts(route)
        ]
    return [(where, name) for where, name in found if isinstance(name, str)]


def _check_split(path: str, route: Mapping[str, Any]) -> Iterator[Finding]:
    weights = {i: _read_number(part, "weight") for i, part in _list_parts(route)}
    if weights and all(weight == 0 for weight in weights.values()):
        yield _error(f"{path}.trafficSplit", "all weights are 0")
        return
    for i, weight in weights.items():
        if weight is None:
            message = "a finite number is required"
            yield _error(f"{path}.trafficSplit.{i}.weight", message)
        elif weight == 0:
            message = "with weight 0 the service gets no request of this route"
            yield _warning(f"{path}.trafficSplit.{i}.weight", message)


def _check_services(document: Mapping[str, Any]) -> Iterator[Finding]:
    used = {
        service
        for route in _read_tables(document, "routes").values()
        for _, service in _list_services("", route)
    }
    for name, service in _read_tables(document, "services").items():
        path = f"services.{name}"
        if name not in used:
            yield _warning(path, "no route uses the service")
        yield from _check_numbers(path, service, SERVICE_NUMBERS)
        yield from _check_at_least_one(path, service, "maxConnections")
        for given, missing in (("warmupS", "warmupPerS"), ("warmupPerS", "warmupS")):
            if service.get(given) is not None and service.get(missing) is None:
                yield _error(f"{path}.{given}", f"has no effect without {missing}")


def _check_limits(limits: Any) -> Iterator[Finding]:
    if limits is not None and not isinstance(limits, dict):
        yield _error("limits", "a JSON object is required")
    if not isinstance(limits, dict):
        return
    default = CallerLimits()
    defaults = {
        "headerBytes": default.head_bytes,
        "maxBodyBytes": default.body_bytes,
        "headerTimeoutMs": default.head_timeout_ms,
        "idleTimeoutMs": default.idle_timeout_ms,
    }
    # Instances use the default for an absent limit and for 0.
    effective = {key: limits.get(key) or value for key, value in defaults.items()}
    yield from _check_numbers("limits", limits, LIMIT_FIELDS)
    yield from _check_order(
        "limits", effective, "headerBytes", "maxBodyBytes", at="headerBytes"
    )
    yield from _check_order(
        "limits", effective, "headerTimeoutMs", "idleTimeoutMs", at="idleTimeoutMs"
    )
