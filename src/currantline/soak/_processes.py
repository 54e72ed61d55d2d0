"""Subprocesses that run the instances of a soak test."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import attrs

from currantline.platform import SETTINGS_VARIABLE
from currantline.platform.samples import format_settings, make_settings

__all__ = ["SHUTDOWN_TIMEOUT_S", "InstanceProcess"]

# Time between SIGTERM and SIGKILL; must match the value in the settings.
SHUTDOWN_TIMEOUT_S = 6.0

POLL_INTERVAL_S = 0.02


@attrs.define
class InstanceProcess:
    """A subprocess that runs one instance.

    Parameters
    ----------
    host : str
        Loopback IP address.
    data_centre : str
        Its data centre.
    seeds : tuple of str
        IP addresses of the seeds.
    data_centres : tuple of str
        All data centres.
    store : str
        Address at which this instance reaches the store.
    folder : Path
        Directory for settings and logs.
    """

    host: str
    data_centre: str
    seeds: tuple[str, ...]
    data_centres: tuple[str, ...]
    store: str
    folder: Path
    _process: "subprocess.Popen[bytes] | None" = None

    @property
    def settings_path(self) -> Path:
        """Path of the settings file."""
        return self.folder / f"{self.host}.toml"

    def write_settings(self) -> None:
        """Replace the settings file atomically."""
        document = make_settings(
            self.host,
            self.data_centre,
            seeds=self.seeds,
            data_centres=self.data_centres,
            store=self.store,
        )
        new = self.settings_path.with_suffix(".new")
        new.write_text(format_settings(document), encoding="utf-8")
        new.replace(self.settings_path)

    def start(self) -> None:
        """Write the settings and start the process."""
        self.write_settings()
        with (self.folder / f"{self.host}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "currantline.gatewayd"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    SETTINGS_VARIABLE: str(self.settings_path),
                    "PYTHONPATH": ":".join(path for path in sys.path if path),
                },
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the process to exit and return whether it did within the timeout."""
        process = self._process
        try:
            async with asyncio.timeout(timeout_s):
                while process is not None and process.poll() is None:
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.send(signal.SIGKILL)
        await self.wait(SHUTDOWN_TIMEOUT_S)
