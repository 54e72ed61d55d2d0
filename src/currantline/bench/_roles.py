"""Child processes of the added-latency benchmark: targets and request paths."""

import asyncio
import json
import random
import signal
import socket
import time
from pathlib import Path

import eliot

from currantline.clock import MonotonicClock
from currantline.compose import Instance
from currantline.configuration import (
    Configuration,
    Service,
    Target,
    render_configuration,
)
from currantline.directory import AddressResponse
from currantline.dispatch import LocalPlacement
from currantline.exceptions import UnknownServiceError
from currantline.forwarding import CallerServer, InstanceCallbacks, RequestForwarder
from currantline.settings import Settings
from currantline.standin.platform import Platform
from currantline.wire import HttpServer, Request, Response, fetch

__all__ = ["BODY", "SERVICE", "serve_composed", "serve_site", "serve_thin"]

HOST = "127.0.0.1"
BODY = b"x" * 512
SERVICE = "bench"
TARGETS_PER_SERVICE = 10
SLOTS = 6
FETCH_TIMEOUT_MS = 2000.0


async def serve_site(services: int) -> None:
    """Serve targets that respond at once, and publish a configuration and a list.

    Parameters
    ----------
    services : int
        Number of configured services. Only the first receives requests and probes;
        the targets of the others share its addresses.
    """
    load = ("target-load", f"in-flight=0, slots={SLOTS}, state=ready")

    async def respond(request: Request) -> Response:
        return Response(status=200, headers=(load,), body=BODY)

    servers = [HttpServer(respond) for _ in range(TARGETS_PER_SERVICE)]
    for server in servers:
        await server.start(f"{HOST}:0")
    addresses = [server.address for server in servers]
    platform = Platform()
    await platform.service.start(f"{HOST}:0")
    body = render_configuration(_build_configuration(addresses, services))
    platform.publish({"kind": "snapshot", "author": "bench", "body": body})
    await _run_until_terminated(f"{addresses[0]} {platform.service.address}")


async def serve_thin(target_address: str, log: Path) -> None:
    """Run the request path of an instance with local target selection."""
    target = Target(name="target", address=target_address, data_centre="here", slots=64)
    service = Service(name=SERVICE, targets=(target,))
    configuration = Configuration(
        version=1, max_instances=4, services={service.name: service}
    )

    def raise_unknown_service(name: str) -> AddressResponse:
        raise UnknownServiceError(name)

    clock = MonotonicClock()
    eliot.to_file(log.open("ab", buffering=0))
    server = CallerServer(
        "instance",
        forwarder=RequestForwarder(
            LocalPlacement(lambda: configuration, random.Random(1)), clock=clock
        ),
        callbacks=InstanceCallbacks(
            read_configuration=lambda: configuration,
            find_addresses=raise_unknown_service,
            needs_refresh=lambda name: False,
            is_leaving=lambda: False,
        ),
        clock=clock,
    )
    await server.start(f"{HOST}:0")
    await _run_until_terminated(server.address)


async def serve_composed(platform_address: str, log: Path) -> None:
    """Run a complete instance, composed as in the daemon."""
    eliot.to_file(log.open("ab", buffering=0))
    settings = Settings(
        name="instance",
        data_centre="here",
        caller_address=_find_free_address(),
        peer_address=_find_free_address(),
        operator_address=_find_free_address(),
        platform_address=platform_address,
        log_path=str(log),
    )
    instance = Instance(
        settings,
        clock=MonotonicClock(),
        rng=random.Random(1),
        incarnation=time.time_ns() // 1_000_000,
    )
    await _publish_list(settings)
    await instance.start()
    await _run_until_terminated(settings.caller_address)


async def _publish_list(settings: Settings) -> None:
    """Publish a list of only this instance, which probes only while it is listed."""
    keys = ("name", "data_centre", "caller_address", "peer_address")
    entry = {key: getattr(settings, key) for key in keys}
    entries = [{"kind": "instance", "state": "live", **entry}]
    request = Request(
        method="POST", target="/v1/list", body=json.dumps({"entries": entries}).encode()
    )
    await fetch(settings.platform_address, request, timeout_ms=FETCH_TIMEOUT_MS)


def _build_configuration(addresses: list[str], services: int) -> Configuration:
    names = [SERVICE, *(f"{SERVICE}-{number}" for number in range(1, services))]
    return Configuration(
        version=1,
        services={name: _build_service(name, addresses) for name in names},
    )


def _build_service(name: str, addresses: list[str]) -> Service:
    targets = [
        Target(
            name=f"{name}-t{number}", address=address, data_centre="here", slots=SLOTS
        )
        for number, address in enumerate(addresses)
    ]
    # Probes to all targets of a large site would dominate the processor time.
    probe_budget = 2.0 if name == SERVICE else 0.0
    return Service(name=name, targets=tuple(targets), probe_budget=probe_budget)


def _find_free_address() -> str:
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return f"{HOST}:{listener.getsockname()[1]}"


async def _run_until_terminated(line: str) -> None:
    """Print a line, then the CPU seconds used at each SIGUSR1, until SIGTERM."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, _print_cpu)
    print(line, flush=True)
    await stopping.wait()


def _print_cpu() -> None:
    print(time.process_time(), flush=True)
