"""A small deployment: store, targets and instances."""

import asyncio
import contextlib
import random
import tempfile
from collections.abc import AsyncIterator, Mapping
from pathlib import Path
from typing import Any

from standins.caller import Caller
from standins.instances import Instance, find_ports
from standins.record import Record
from standins.store import Store
from standins.target import Target

__all__ = ["ROUTES", "Deployment", "open_deployment"]

DATA_CENTRES = ("otavalo", "cotacachi")

# The routes and limits have the form and figures of the users' example of a
# configuration.
ROUTES = {
    "lookup": {"kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 400},
    "order": {"kind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 500},
}
SERVICES = {"lookup": "patrones", "order": "pedidos"}
LIMITS = {
    "headerBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}

READY_TIMEOUT_S = 20.0


class Deployment:
    """Store, targets and instances on loopback addresses.

    Parameters
    ----------
    record : Record
        Gets a line for each event.
    folder : Path
        Folder for settings and logs.
    instances : int
        Number of instances.
    targets : int
        Number of targets of each service.
    slots : int
        Slots of each target.
    work_s : float
        Time that a request takes, in seconds.
    memory_mb : int
        Memory of each instance.
    timeouts_ms : mapping of str to int
        Timeouts of routes that differ from those of the example.
    """

    def __init__(
        self,
        record: Record,
        folder: Path,
        *,
        instances: int,
        targets: int,
        slots: int,
        work_s: float,
        memory_mb: int,
        timeouts_ms: Mapping[str, int],
    ) -> None:
        rng = random.Random()
        prefix = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
        hosts = [f"{prefix}.{n + 1}" for n in range(instances)]
        ports = find_ports(hosts)
        self.record = record
        self.store = Store()
        self._store_address = f"{prefix}.100", 8642
        self._timeouts_ms = timeouts_ms
        self._version = 0
        self.instances = [
            Instance(
                host,
                data_centre=DATA_CENTRES[n % 2],
                hosts=hosts,
                ports=ports,
                store="{}:{}".format(*self._store_address),
                memory_mb=memory_mb,
                folder=folder,
                record=record,
            )
            for n, host in enumerate(hosts)
        ]
        self.targets = [
            Target(
                f"i-{service}-{n}",
                service=service,
                address=(f"{prefix}.{101 + index * targets + n}", 8500),
                data_centre=DATA_CENTRES[n % 2],
                record=record,
                work_s=work_s,
                slots=slots,
            )
            for index, service in enumerate(SERVICES.values())
            for n in range(targets)
        ]

    async def start(self) -> None:
        """Start all parts and wait until the instances are ready."""
        await self.store.start(*self._store_address)
        self.put_configuration()
        for target in self.targets:
            await target.start(self.store)
        for instance in self.instances:
            instance.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            for instance in self.instances:
                while not await _is_ready(instance):
                    await asyncio.sleep(0.1)

    def put_configuration(self) -> None:
        """Write a configuration with the next version."""
        self._version += 1
        routes: dict[str, Any] = {
            name: {
                "host": "shop.example",
                "prefix": f"/{name}/",
                **route,
                "timeoutMs": self._timeouts_ms.get(name, route["timeoutMs"]),
                "priority": 1,
                "service": SERVICES[name],
                "maxAttempts": 2,
            }
            for name, route in ROUTES.items()
        }
        service = {"healthPath": "/health", "maxConnections": 260}
        services = {
            name: {**service, "protocol": "h1", "tls": False}
            for name in SERVICES.values()
        }
        self.store.put(
            "op/config",
            {
                "version": f"{self._version:08x}",
                "routes": routes,
                "services": services,
                "limits": LIMITS,
            },
        )

    async def stop(self) -> None:
        """Kill the instances and end all tasks and connections of the stand-ins."""
        own = asyncio.current_task()
        others = [task for task in asyncio.all_tasks() if task is not own]
        for task in others:
            task.cancel()
        for instance in self.instances:
            instance.stop()
        Caller.close_all()
        for part in (self.store, *self.targets):
            part.stop()
        await asyncio.gather(*others, return_exceptions=True)


async def _is_ready(instance: Instance) -> bool:
    try:
        reader, writer = await asyncio.open_connection(
            instance.host, instance.ports.ready
        )
    except OSError:
        return False
    writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


@contextlib.asynccontextmanager
async def open_deployment(
    record: Record,
    *,
    instances: int = 3,
    targets: int = 4,
    slots: int = 4,
    work_s: float = 0.04,
    memory_mb: int = 300,
    timeouts_ms: Mapping[str, int] | None = None,
) -> AsyncIterator[Deployment]:
    """Start a deployment in a temporary folder and stop it at the end."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        deployment = Deployment(
            record,
            Path(folder),
            instances=instances,
            targets=targets,
            slots=slots,
            work_s=work_s,
            memory_mb=memory_mb,
            timeouts_ms=timeouts_ms or {},
        )
        try:
            await deployment.start()
            yield deployment
        finally:
            await deployment.stop()
