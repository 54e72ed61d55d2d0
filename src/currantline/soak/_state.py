"""Compares the state of instances with what the store publishes."""

from collections.abc import Iterable

from currantline.exceptions import WireError
from currantline.soak._publisher import Publisher
from currantline.wire import Request, fetch

__all__ = ["find_stale_state"]

METRICS_PORT = 9464
METRICS_TIMEOUT_MS = 1_000.0


async def find_stale_state(publisher: Publisher, hosts: Iterable[str]) -> list[str]:
    """Return a line for each gauge of an instance that differs from the store."""
    expected = {
        "targets": len(publisher.entries),
        "configuration_version": publisher.version,
        "store_era": publisher.store.era or 0,
    }
    request = Request(method="GET", target="/metrics")
    found = []
    for host in hosts:
        address = f"{host}:{METRICS_PORT}"
        try:
            response = await fetch(address, request, timeout_ms=METRICS_TIMEOUT_MS)
        except WireError as error:
            found.append(f"{host} gave no metrics: {error}")
            continue
        lines = response.body.decode().splitlines()
        found += [
            f"{host} does not have {name} {value}"
            for name, value in expected.items()
            if f"currantline_{name} {value:.1f}" not in lines
        ]
    return found
