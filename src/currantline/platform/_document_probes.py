"""Location of what the decoder of the instances refuses.

The decoder stops at the first fault and does not name its path. Each field is therefore
decoded on its own in an otherwise valid document, so that the rules are only in the
decoder.
"""

import json
from collections.abc import Iterator, Mapping
from typing import Any

from currantline.exceptions import ConfigurationError
from currantline.platform._documents import decode_route_table

__all__ = ["find_refusal", "locate_refusals"]

VALID_ROUTE: Mapping[str, Any] = {
    "host": "probe.example",
    "prefix": "/",
    "kind": "idempotent",
    "timeoutMs": 1000,
    "service": "probe",
}
VALID_DOCUMENT: Mapping[str, Any] = {
    "version": "00000001",
    "routes": {},
    "services": {},
}
ROUTE_FIELDS = (
    *VALID_ROUTE,
    "trafficSplit",
    "targetLatencyMs",
    "priority",
    "maxAttempts",
)
SERVICE_FIELDS = ("healthPath", "maxConnections", "warmupS", "warmupPerS")
LIMIT_FIELDS = ("headerBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs")


def find_refusal(text: str) -> str | None:
    """Return why the instances refuse a document, None if they accept it."""
    try:
        decode_route_table(text)
    except ConfigurationError as error:
        return error.message
    return None


def locate_refusals(document: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    """Yield the path and the reason of each part that the decoder refuses."""
    for table in ("version", "routes", "services"):
        if table not in document:
            yield table, "required key is missing"
    if "version" in document:
        yield from _probe("version", {"version": document["version"]})
    for table in ("routes", "services"):
        entries = document.get(table, {})
        if not isinstance(entries, dict):
            yield table, "a JSON object is required"
            continue
        for name, entry in entries.items():
            yield from _locate_in_entry(table, name, entry)
    yield from _locate_in_limits(document.get("limits"))


def _locate_in_entry(table: str, name: str, entry: Any) -> Iterator[tuple[str, str]]:
    path = f"{table}.{name}"
    whole = list(_probe(path, {table: {name: entry}}))
    if not whole or not isinstance(entry, dict):
        yield from whole
        return
    is_route = table == "routes"
    found = []
    for field in ROUTE_FIELDS if is_route else SERVICE_FIELDS:
        # The decoder does not read the service of a route with a traffic split.
        if field == "service" and entry.get("trafficSplit"):
            continue
        if is_route and field in VALID_ROUTE and field not in entry:
            found.append((f"{path}.{field}", "required key is missing"))
        elif field in entry:
            valid = VALID_ROUTE if is_route else _find_companions(field)
            probed = {**valid, field: entry[field]}
            found += _probe(f"{path}.{field}", {table: {name: probed}})
    yield from found or whole


def _find_companions(field: str) -> Mapping[str, Any]:
    # The decoder reads the duration of a warm-up only together with its rate.
    return {"warmupPerS": 1} if field == "warmupS" else {}


def _locate_in_limits(limits: Any) -> Iterator[tuple[str, str]]:
    whole = list(_probe("limits", {"limits": limits}))
    if not whole or not isinstance(limits, dict):
        yield from whole
        return
    found = [
        refusal
        for field in LIMIT_FIELDS
        if field in limits
        for refusal in _probe(f"limits.{field}", {"limits": {field: limits[field]}})
    ]
    yield from found or whole


def _probe(path: str, tables: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    reason = find_refusal(json.dumps({**VALID_DOCUMENT, **tables}))
    if reason is not None:
        yield path, reason
