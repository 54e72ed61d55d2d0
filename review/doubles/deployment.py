"""A small deployment on loopback: store, upstreams and instances as processes."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from doubles.messages import encode_head, read_message
from doubles.record import Record
from doubles.store import Store
from doubles.upstream import Upstream, make_entry

__all__ = ["HOST_NAME", "Deployment", "make_route"]

ROOT = Path(__file__).resolve().parent.parent.parent

HOST_NAME = "bees.example"
FRONT, READY, CONTROL, DIRECTORY, METRICS = 8641, 8640, 8649, 8644, 9464
INTERNAL = (7620, 7635)
STORE_PORT, UPSTREAM_PORT = 8642, 8080
READY_TIMEOUT_S = 20.0
POLL_S = 0.05


def make_route(
    service: str, prefix: str, *, kind: str, timeout_ms: int, latency_ms: int
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": latency_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }


class Deployment:
    """Starts and ends all processes and stand-ins of a case.

    Parameters
    ----------
    record : Record
        Record of the case.
    instances : int
        Number of instances, all in zones of their own turn by turn.
    zones : tuple of str
        Names of the zones.
    grace_s : int
        Time between SIGTERM and SIGKILL.
    memory_mb : int
        Memory of a machine.
    max_descriptors : int
        Descriptors of a process.
    """

    def __init__(
        self,
        record: Record,
        *,
        instances: int = 3,
        zones: tuple[str, ...] = ("a", "b", "c"),
        grace_s: int = 6,
        memory_mb: int = 552,
        max_descriptors: int = 8192,
    ) -> None:
        self.record = record
        self.zones = zones
        self.grace_s = grace_s
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.store = Store()
        self.upstreams: dict[str, Upstream] = {}
        self.prefix = _find_free_prefix(instances)
        self.hosts = [f"{self.prefix}.{n + 1}" for n in range(instances)]
        self.store_host = f"{self.prefix}.200"
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)

    async def start_store(self, routes: dict[str, Any], services: list[str]) -> None:
        """Start the store with the first configuration."""
        await self.store.start(self.store_host, STORE_PORT)
        self.put_configuration(1, routes, services)

    def put_configuration(
        self, version: int, routes: dict[str, Any], services: list[str]
    ) -> None:
        """Write a configuration; it is acknowledged when this returns."""
        service = {
            "healthPath": "/health",
            "maxConnections": 260,
            "protocol": "h1",
            "tls": False,
        }
        document = {
            "version": f"{version:08x}",
            "routes": routes,
            "services": dict.fromkeys(services, service),
            "limits": {
                "headerBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("op/config", document)
        self.record.write("configuration", version=version)

    async def add_upstream(self, upstream: Upstream, service: str) -> None:
        """Start an upstream and write its entry."""
        number = len(self.upstreams)
        host = f"{self.prefix}.{100 + number}"
        await upstream.start(host, UPSTREAM_PORT)
        self.upstreams[upstream.name] = upstream
        entry = make_entry(
            f"{host}:{UPSTREAM_PORT}",
            service=service,
            zone=self.zones[number % len(self.zones)],
            slots=upstream.slots,
            born=int(time.time() * 1000),
        )
        self.store.put(f"servers/{upstream.name}", entry)

    def start_instance(self, host: str) -> None:
        """Start one instance with the command of the deploy file."""
        path = self.folder / f"{host}.toml"
        path.write_text(_format(self._make_settings(host)), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        command = deploy["roles"]["instance"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CURRANTLINE_BOOT"] = str(path)
        with (self.folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("instance_started", instance=host)

    async def start_instances(self) -> None:
        """Start all instances and wait until they are ready and know each other."""
        for host in self.hosts:
            self.start_instance(host)
        for host in self.hosts:
            await self.wait_until_ready(host)
        await asyncio.sleep(2.0)

    async def wait_until_ready(self, host: str) -> None:
        """Wait until the readiness check of an instance gives 200."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready(host):
                await asyncio.sleep(POLL_S)

    async def is_ready(self, host: str) -> bool:
        """Return the answer to one readiness check."""
        try:
            reader, writer = await asyncio.open_connection(host, READY)
        except OSError:
            return False
        try:
            head = {"Host": host, "Connection": "close"}
            writer.write(encode_head("GET /-/readiness HTTP/1.1", head))
            response = await read_message(reader)
        finally:
            writer.close()
        return response is not None and response.status == 200

    def send(self, host: str, number: signal.Signals) -> None:
        """Send a signal to an instance."""
        self._processes[host].send_signal(number)
        self.record.write("signal", instance=host, number=number.name)

    def is_running(self, host: str) -> bool:
        """Return whether the process of an instance runs."""
        return self._processes[host].poll() is None

    async def wait_for_end(self, host: str, timeout_s: float) -> bool:
        """Wait for the end of an instance; return whether it has ended."""
        end_s = time.monotonic() + timeout_s
        while self.is_running(host) and time.monotonic() < end_s:
            await asyncio.sleep(POLL_S)
        has_ended = not self.is_running(host)
        if has_ended:
            code = self._processes[host].returncode
            self.record.write("instance_ended", instance=host, code=code)
        return has_ended

    def read_log(self, host: str) -> str:
        """Return the log of an instance."""
        return (self.folder / f"{host}.log").read_text("utf-8", errors="replace")

    async def stop(self) -> None:
        """End all processes that were started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for upstream in self.upstreams.values():
            await upstream.stop()
        await self.store.stop()
        self._folder.cleanup()

    def _make_settings(self, host: str) -> dict[str, Any]:
        zone = self.zones[self.hosts.index(host) % len(self.zones)]
        return {
            "selfNode": {
                "nodeName": f"edge-{host}",
                "role": "instance",
                "machineClass": "edge",
                "serves": ["edge", "directory", "control_plane"],
                "ip": host,
                "zone": zone,
                "region": "r",
                "inFaultBudget": False,
                "bootstrap": True,
                "limits": {
                    "cpuShare": 0.717,
                    "cpuCores": 3,
                    "memoryMb": self.memory_mb,
                    "maxFds": self.max_descriptors,
                    "linkMbps": 100.0,
                    "diskMb": 0,
                },
            },
            "network": {
                "internalPortRange": list(INTERNAL),
                "seeds": [f"{seed}:{CONTROL}" for seed in self.hosts[:3]],
                "listen": {
                    "front": f"{host}:{FRONT}",
                    "ready": f"{host}:{READY}",
                    "control": f"{host}:{CONTROL}",
                    "directory": f"{host}:{DIRECTORY}",
                },
                "zones": dict.fromkeys(self.zones, "r"),
            },
            "platform": {
                "discovery": "platform",
                "entry": "directory",
                "heartbeatMs": 1500,
                "platform": {
                    "address": f"{self.store_host}:{STORE_PORT}",
                    "form": "read",
                    "writesPerS": 1200,
                    "readsPerS": 6000,
                    "historyS": 20,
                    "valueBytes": 1048576,
                    "ttlMinMs": 1000,
                },
            },
            "terms": {
                "contracts": [
                    "base",
                    "drain",
                    "config",
                    "retry",
                    "recover",
                    "platform",
                ],
                "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
                "bounds": {
                    "seedLagS": 3,
                    "addrReuseS": 2,
                    "stableMs": 3000,
                    "ackMs": 5000,
                    "catchUpS": 6,
                    "drainMs": 2500,
                    "graceS": self.grace_s,
                    "lossSlackMs": 200,
                    "configApplyMs": 2500,
                    "revertSlackMs": 250,
                    "maxStretchMs": 5000,
                    "retryBudgetRatio": 0.2,
                    "budgetWindowS": 10,
                    "retryBudgetSlack": 166,
                    "recoveryS": 15,
                    "ttl_max_s": 5,
                    "probesPerS": 42,
                },
            },
        }


def _format(table: dict[str, Any], name: str = "") -> str:
    lines = [f"[{name}]"] if name else []
    plain = {key: v for key, v in table.items() if not isinstance(v, dict)}
    lines += [f"{key} = {json.dumps(value)}" for key, value in plain.items()]
    for key, value in table.items():
        if isinstance(value, dict):
            lines.append(_format(value, f"{name}.{key}" if name else key))
    return "\n".join(lines) + "\n"


def _find_free_prefix(instances: int) -> str:
    """Return the first three octets of a loopback network with free ports."""
    for _ in range(100):
        prefix = f"127.{random.randint(20, 90)}.{random.randint(1, 250)}"
        hosts = [f"{prefix}.{n + 1}" for n in range(instances)]
        ports = (FRONT, READY, CONTROL, DIRECTORY, METRICS, *INTERNAL)
        if all(_is_free(host, port) for host in hosts for port in ports) and _is_free(
            f"{prefix}.200", STORE_PORT
        ):
            return prefix
    raise OSError("no free ports on the loopback interface")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
