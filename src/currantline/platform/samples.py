"""Sample documents and settings in the platform's format, for tests and the soak."""

import json
from typing import Any

from currantline.platform._endpoints import DIRECTORY_PATH, READINESS_PATH

__all__ = [
    "ODD_ENTRIES",
    "READINESS_PATH",
    "format_settings",
    "make_configuration",
    "make_directory_query",
    "make_evacuation_key",
    "make_leaving_headers",
    "make_rate_limit_headers",
    "make_settings",
    "make_target_entry",
    "make_warmup_bounds",
    "read_addresses",
]


def make_directory_query(data_centre: str) -> str:
    """Return the path and query of a directory lookup from a data centre."""
    return f"{DIRECTORY_PATH}?name=shop.example&region=r&zone={data_centre}"


def read_addresses(body: bytes) -> list[str]:
    """Return the addresses in the body of a directory response."""
    return [str(address) for address in json.loads(body)["addresses"]]


def make_evacuation_key(data_centre: str) -> str:
    """Return the key of the store that evacuates a data centre."""
    return f"op/evacuate/{data_centre}"


def make_leaving_headers() -> tuple[tuple[str, str], ...]:
    """Return the headers of responses of a target that leaves."""
    return (("server-leaving", "1"),)


def make_rate_limit_headers(per_s: float) -> tuple[tuple[str, str], ...]:
    """Return the headers by which a target limits its requests per second."""
    return (("x-currantline-server-limit", str(per_s)),)


def make_configuration(
    version: int, service: str = "svc", *, warmup: tuple[float, float] | None = None
) -> dict[str, Any]:
    """Return a configuration with an idempotent and a non-idempotent route.

    The warm-up of the targets is given in seconds, with the requests per second that
    they tolerate meanwhile.
    """
    warmup_fields = dict(zip(("warmupS", "warmupPerS"), warmup or (), strict=False))
    common = {"host": "shop.example", "maxAttempts": 2, "service": service}
    read = {"prefix": "/read/", "kind": "idempotent", "timeoutMs": 1500}
    orders = {"prefix": "/orders/", "kind": "non_idempotent", "timeoutMs": 2000}
    return {
        "version": f"{version:08x}",
        "routes": {
            "read": {**common, **read, "targetLatencyMs": 400, "priority": 2},
            "orders": {**common, **orders, "targetLatencyMs": 500, "priority": 1},
        },
        "services": {
            name: {
                "healthPath": "/health",
                "maxConnections": 260,
                "protocol": "h1",
                **warmup_fields,
            }
            for name in ("svc", "two")
        },
        "limits": {
            "headerBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def make_target_entry(
    address: str = "10.9.0.1:80",
    *,
    service: str = "svc",
    data_centre: str = "a",
    state: str = "ready",
    warmup_ms: float = 0,
    sequence: int = 4,
    born: int = 5,
) -> dict[str, Any]:
    """Return the store entry of a target."""
    return {
        "address": address,
        "born": born,
        "info": {"service": service, "version": "v1", "zone": data_centre, "slots": 2},
        "status": {"state": state, "sequence": sequence, "warmupLeftMs": warmup_ms},
    }


def make_warmup_bounds(overrun: float, slack: float) -> dict[str, float]:
    """Return the bounds of the settings that concern warm-ups."""
    return {"warmupOverrun": overrun, "warmupSlack": slack}


def make_settings(
    host: str,
    data_centre: str,
    *,
    seeds: tuple[str, ...],
    data_centres: tuple[str, ...],
    store: str = "10.200.1.7:8642",
) -> dict[str, Any]:
    """Return the parsed settings file of one machine."""
    return {
        "selfNode": {
            "nodeName": f"edge-{host}",
            "ip": host,
            "zone": data_centre,
            "region": "r",
            "limits": {"memoryMb": 300},
            "unknown": 1,
        },
        "network": {
            "internalPortRange": [7620, 7635],
            "seeds": [f"{seed}:8649" for seed in seeds],
            "listen": {
                "front": f"{host}:8641",
                "ready": f"{host}:8640",
                "control": f"{host}:8649",
                "directory": f"{host}:8644",
            },
            "zones": dict.fromkeys(data_centres, "r"),
        },
        "platform": {"platform": {"address": store}},
        "terms": {
            "bounds": {
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 64,
                "budgetWindowS": 10,
                "ttl_max_s": 5,
                "graceS": 6,
                "probesPerS": 60,
                "stableMs": 3000,
            }
        },
    }


def format_settings(document: dict[str, Any], table: str = "") -> str:
    """Return settings formatted as TOML."""
    lines = [f"[{table}]"] if table else []
    tables = [name for name, value in document.items() if isinstance(value, dict)]
    for name in sorted(document, key=lambda name: name in tables):
        value = document[name]
        if name in tables:
            inner = f"{table}.{name}" if table else name
            lines.append(format_settings(value, inner))
        else:
            lines.append(f"{name} = {json.dumps(value)}")
    return "\n".join(lines)


def _make_odd_entry(table: str | None, field: str, value: str) -> bytes:
    """Return an entry of a target with one field in JSON as given."""
    document: dict[str, Any] = make_target_entry("10.9.0.9:80")
    (document[table] if table else document)[field] = "ODD"
    return json.dumps(document).replace('"ODD"', value).encode()


_NESTED = "[" * 900 + "]" * 900
# Entries of another program, which name no target.
ODD_ENTRIES = [
    b"[" * 100_000,
    b'{"info":' * 50_000,
    *(
        _make_odd_entry(table, field, value)
        for table, field in [
            (None, "address"),
            (None, "born"),
            ("info", "slots"),
            ("info", "service"),
            ("info", "zone"),
            ("status", "state"),
            ("status", "warmupLeftMs"),
        ]
        for value in (_NESTED, "1e999", "-1e999", "NaN", "9" * 400, "9" * 5000, "{}")
    ),
    *(
        _make_odd_entry(None, "address", json.dumps(address))
        for address in [
            "",
            "10.9.0.9",
            "10.9.0.9:",
            "10.9.0.9:0",
            "10.9.0.9:-1",
            "10.9.0.9:65536",
            "10.9.0.9:" + "9" * 30,
            "10.9.0.9:80:80",
            "10.9.0.999:80",
            "example:80",
            ":80",
            "10.9.0.9\n:80",
            "\ud800:80",
        ]
    ),
]
