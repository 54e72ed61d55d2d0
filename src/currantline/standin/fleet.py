"""Separate processes on loopback: stand-ins and instances."""

import asyncio
import contextlib
import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import attrs
import yaml

from currantline.configuration import (
    Configuration,
    Service,
    Target,
    parse_configuration,
    render_configuration,
)
from currantline.exceptions import PlatformError, WireError
from currantline.wire import Request, fetch

__all__ = ["PLATFORM_ADDRESS", "Fleet"]

PLATFORM_ADDRESS = "127.0.0.1:7900"
READY_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 40.0
FETCH_TIMEOUT_MS = 1000.0
POLL_S = 0.1
REQUEST_COUNTS_PATH = "/standin/seen"


@attrs.define
class Fleet:
    """The platform, all targets and some instances as processes.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    configuration_path : str
        Configuration to publish.
    count : int
        Number of instances.
    """

    folder: Path
    configuration_path: str
    count: int
    configuration: Configuration = attrs.field(init=False)
    settings: dict[str, dict[str, Any]] = attrs.field(factory=dict, init=False)
    _processes: dict[str, subprocess.Popen[bytes]] = attrs.field(
        factory=dict, init=False
    )

    def __attrs_post_init__(self) -> None:
        text = Path(self.configuration_path).read_text(encoding="utf-8")
        self.configuration = parse_configuration(text, source=self.configuration_path)
        data_centres = sorted({target.data_centre for target in self.targets})
        for number in range(self.count):
            data_centre = data_centres[number % len(data_centres)]
            settings = self._build_settings(number, data_centre)
            self.settings[settings["name"]] = settings

    @property
    def targets(self) -> list[Target]:
        """All targets of the configuration."""
        services = self.configuration.services.values()
        return [target for service in services for target in service.targets]

    @property
    def caller_addresses(self) -> list[str]:
        """Addresses at which callers reach the instances."""
        return [settings["caller_address"] for settings in self.settings.values()]

    async def start(self) -> None:
        """Start all processes and wait until every instance is ready."""
        self._spawn("platform", "currantline.standin.platform")
        path = self.configuration_path
        self._spawn("targets", "currantline.standin.target", f"--configuration={path}")
        await self.wait_until_ok(PLATFORM_ADDRESS, "/v1/list")
        for target in self.targets:
            await self.wait_until_ok(target.address, "/health")
        await self.publish_list()
        body = render_configuration(self.configuration)
        await self.publish_record({"kind": "snapshot", "author": "demo", "body": body})
        for name in self.settings:
            self.start_instance(name)
        for name in self.settings:
            await self.wait_until_ready(name)

    def start_instance(self, name: str) -> None:
        """Start one instance."""
        file = self.folder / f"{name}.yaml"
        file.write_text(yaml.safe_dump(self.settings[name]))
        self._spawn(name, "currantline.daemon", f"--settings={file}")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    async def wait_for_exit(self, name: str) -> int:
        """Wait until a process has ended and return its exit code."""
        process = self._processes.pop(name)
        return await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)

    def stop(self) -> dict[str, int]:
        """End all processes, instances first, and return their exit codes."""
        codes = {}
        for name, process in reversed(self._processes.items()):
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
            try:
                codes[name] = process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = process.wait()
        return codes

    async def publish_list(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the list of instances and targets."""
        keys = ("name", "data_centre", "caller_address", "peer_address")
        entries = [
            {"kind": "instance", "state": "live", **{key: s[key] for key in keys}}
            for s in self.settings.values()
        ]
        entries += [
            {
                "kind": "target",
                "name": target.name,
                "state": "leaving" if target.name in leaving else "live",
            }
            for target in self.targets
        ]
        await self.post(PLATFORM_ADDRESS, "/v1/list", {"entries": entries})

    async def publish_record(self, record: dict[str, Any]) -> None:
        """Publish a configuration record."""
        await self.post(PLATFORM_ADDRESS, "/v1/records", record)

    async def set_platform(self, **faults: Any) -> None:
        """Switch faults of the platform."""
        await self.post(PLATFORM_ADDRESS, "/v1/faults", faults)

    async def set_behaviour(self, target: Target, **behaviour: Any) -> None:
        """Switch the behaviour of a target."""
        # A target that goes silent does not answer this request either.
        is_silent = bool(behaviour.get("is_silent"))
        with contextlib.suppress(*([WireError] if is_silent else [])):
            await self.post(target.address, "/standin/behaviour", behaviour)

    async def count_requests(self, services: list[Service]) -> dict[str, int]:
        """Return how often targets saw each request, over all targets."""
        counts: dict[str, int] = {}
        for service in services:
            for target in service.targets:
                for key, count in (
                    await self.get(target.address, REQUEST_COUNTS_PATH)
                ).items():
                    counts[key] = counts.get(key, 0) + count
        return counts

    async def wait_until_ready(self, name: str) -> None:
        """Wait until an instance is ready."""
        await self.wait_until_ok(self.settings[name]["operator_address"], "/ready")

    async def wait_until_ok(self, address: str, path: str) -> None:
        """Wait until an address answers 200.

        Raises
        ------
        PlatformError
            If it does not within the time allowed.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await _is_ok(address, path):
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            raise PlatformError(f"{address}{path} did not become ready") from error

    async def get(self, address: str, path: str) -> Any:
        """Return the JSON value at a path."""
        request = Request(method="GET", target=path)
        response = await fetch(address, request, timeout_ms=FETCH_TIMEOUT_MS)
        return json.loads(response.body)

    async def post(self, address: str, path: str, body: Any) -> None:
        """Send a JSON value to a path."""
        request = Request(method="POST", target=path, body=json.dumps(body).encode())
        await fetch(address, request, timeout_ms=FETCH_TIMEOUT_MS)

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        with (self.folder / f"{name}.out").open("ab") as log:
            self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def _build_settings(self, number: int, data_centre: str) -> dict[str, Any]:
        host = f"127.0.1.{number + 1}"
        return {
            "name": f"instance-{number}",
            "data_centre": data_centre,
            "caller_address": f"{host}:7100",
            "peer_address": f"{host}:7200",
            "operator_address": f"{host}:7300",
            "platform_address": PLATFORM_ADDRESS,
            "log_path": str(self.folder / f"instance-{number}.log"),
        }


async def _is_ok(address: str, path: str) -> bool:
    request = Request(method="GET", target=path)
    try:
        response = await fetch(address, request, timeout_ms=FETCH_TIMEOUT_MS)
    except WireError:
        return False
    return response.status == 200
