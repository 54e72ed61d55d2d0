"""Decoding of the documents in the platform's store into routes and targets.

Other programs also write to the store. A document that cannot be decoded raises
`ConfigurationError`, so that the last valid version can stay in use.
"""

import json
from collections.abc import Mapping
from typing import Any

from currantline.exceptions import (
    MALFORMED_DATA_ERRORS,
    ConfigurationError,
    InvalidValueError,
)
from currantline.placement import PublishedTarget
from currantline.routing import (
    CallerLimits,
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
)

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "TARGET_PREFIX",
    "decode_evacuation",
    "decode_route_table",
    "decode_target",
]

CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"

# Maximum number of slots of a target. Larger numbers would overflow in predictions.
MAX_SLOTS = 1_000_000

# Last millisecond of the year 9999, the latest time that the usual formats can express.
MAX_UNIX_MS = 253_402_300_799_999

IDEMPOTENT = "idempotent"
UPLOAD = "upload"
ROUTE_KINDS = frozenset({IDEMPOTENT, "non_idempotent", UPLOAD})
READY, DRAINING = "ready", "draining"


def decode_route_table(text: str) -> RouteTable:
    """Decode the configuration that an operator published.

    A route of an unknown kind is served as non-idempotent, since that is safe for every
    request. Refusing the configuration would stop the other routes as well.

    Raises
    ------
    ConfigurationError
        If a field is missing, has the wrong type or an invalid value.
    """
    document = _load_object(text, CONFIGURATION_KEY)
    try:
        return RouteTable(
            version=int(document["version"], 16),
            routes=tuple(
                _decode_route(name, route) for name, route in document["routes"].items()
            ),
            services={
                name: RoutedService(
                    name=name,
                    health_path=service.get("healthPath") or "/health",
                    max_connections=int(service.get("maxConnections") or 0) or None,
                    **_decode_warmup(service),
                )
                for name, service in document["services"].items()
            },
            limits=_decode_limits(document.get("limits") or {}),
            unknown_kinds=_find_unknown_kinds(document["routes"]),
            has_uploads=any(
                route["kind"] == UPLOAD for route in document["routes"].values()
            ),
        )
    except ConfigurationError:
        raise
    except (*MALFORMED_DATA_ERRORS, InvalidValueError) as error:
        raise ConfigurationError(
            f"{type(error).__name__}: {error}", source=CONFIGURATION_KEY
        ) from error


def decode_evacuation(key: str) -> str:
    """Return the data centre that a key of the store evacuates.

    The document under the key carries no meaning: any content evacuates.

    Raises
    ------
    ConfigurationError
        If the key names no data centre.
    """
    data_centre = key.removeprefix(EVACUATION_PREFIX)
    if not data_centre:
        raise ConfigurationError("the key names no data centre", source=key)
    return data_centre


def decode_target(key: str, text: str) -> PublishedTarget:
    """Decode an entry of the store into a target.

    Raises
    ------
    ConfigurationError
        If a field is missing or cannot be used, or the state is unknown.
    """
    document = _load_object(text, key)
    try:
        info, status = document["info"], document["status"]
        state, address = status["state"], document["address"]
        if state not in (READY, DRAINING):
            raise ConfigurationError(f"unknown state {state!r:.80}", source=key)
        slots, born = info["slots"], document.get("born", 0)
        warmup_ms = status.get("warmupLeftMs", 0)
        _check_types(key, slots=(slots, int), born=(born, int), address=(address, str))
        if not 0 <= slots <= MAX_SLOTS:
            raise ConfigurationError(f"{slots!r:.80} slots", source=key, path="slots")
        if not 0 <= born <= MAX_UNIX_MS:
            raise ConfigurationError(f"born at {born!r:.80}", source=key, path="born")
        _check_types(key, service=(info["service"], str), zone=(info["zone"], str))
        _check_types(key, warmupLeftMs=(warmup_ms, (int, float)))
        return PublishedTarget(
            name=key.removeprefix(TARGET_PREFIX),
            started_unix_ms=born,
            address=address,
            service=info["service"],
            data_centre=info["zone"],
            slots=slots,
            is_draining=state == DRAINING,
            warmup_ms=float(warmup_ms),
            sequence=_read_sequence(status),
        )
    except ConfigurationError:
        raise
    except (*MALFORMED_DATA_ERRORS, InvalidValueError) as error:
        raise ConfigurationError(
            f"{type(error).__name__}: {error}", source=key
        ) from error


def _read_sequence(status: Mapping[str, Any]) -> int | None:
    sequence = status.get("sequence")
    # The target can be used without it. bool is a subclass of int.
    if not isinstance(sequence, int) or isinstance(sequence, bool):
        return None
    return sequence


def _load_object(text: str, source: str) -> Mapping[str, Any]:
    try:
        document = json.loads(text)
    except MALFORMED_DATA_ERRORS as error:
        raise ConfigurationError(f"not JSON: {error}", source=source) from error
    if not isinstance(document, dict):
        raise ConfigurationError("a JSON object is required", source=source)
    return document


def _check_types(source: str, **fields: tuple[Any, Any]) -> None:
    for name, (value, expected) in fields.items():
        if not isinstance(value, expected) or isinstance(value, bool):
            raise ConfigurationError(
                f"{value!r:.80} has the wrong type", source=source, path=name
            )


def _decode_route(name: str, route: Mapping[str, Any]) -> Route:
    _check_types(
        CONFIGURATION_KEY, kind=(route["kind"], str), prefix=(route["prefix"], str)
    )
    parts = route.get("trafficSplit") or [{"service": route["service"], "weight": 1}]
    for part in parts:
        _check_types(CONFIGURATION_KEY, service=(part["service"], str))
    timeout_ms = float(route["timeoutMs"])
    return Route(
        name=name,
        host=route["host"].lower(),
        prefix=route["prefix"],
        is_idempotent=route["kind"] == IDEMPOTENT,
        timeout_ms=timeout_ms,
        objective_ms=float(route.get("targetLatencyMs") or timeout_ms),
        priority=int(route.get("priority") or 0),
        max_attempts=max(1, int(route.get("maxAttempts") or 1)),
        weighted_services=tuple(
            WeightedService(service=part["service"], weight=float(part["weight"]))
            for part in parts
        ),
    )


def _decode_warmup(service: Mapping[str, Any]) -> dict[str, Any]:
    per_s = service.get("warmupPerS")
    if per_s is None:
        return {}
    warmup_ms = 1000.0 * float(service.get("warmupS") or 0)
    return {"warmup_ms": warmup_ms, "warmup_per_s": float(per_s)}


def _find_unknown_kinds(routes: Mapping[str, Any]) -> Mapping[str, str]:
    kinds = {name: route["kind"] for name, route in routes.items()}
    return {name: kind for name, kind in kinds.items() if kind not in ROUTE_KINDS}


def _decode_limits(limits: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        head_bytes=int(limits.get("headerBytes") or default.head_bytes),
        body_bytes=int(limits.get("maxBodyBytes") or default.body_bytes),
        head_timeout_ms=float(limits.get("headerTimeoutMs") or default.head_timeout_ms),
        idle_timeout_ms=float(limits.get("idleTimeoutMs") or default.idle_timeout_ms),
    )
