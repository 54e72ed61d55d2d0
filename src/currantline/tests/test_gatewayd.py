"""Tests of the daemon on the users' platform."""

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import cast

import currantline
from currantline.clock import MonotonicClock
from currantline.gateway import Gateway
from currantline.gatewayd import watch_settings
from currantline.platform import InstanceSettings
from currantline.platform.samples import format_settings, make_settings
from currantline.telemetry import EventLog

# Iterations of the event loop to wait for a signal to be handled; one is enough.
MAX_LOOP_ITERATIONS = 100

ROOT = Path(currantline.__file__).parents[2]


def format_seeds(seed: str) -> str:
    """Return the text of a settings file with one seed."""
    return format_settings(
        make_settings("10.1.0.9", "a", seeds=(seed,), data_centres=("a",))
    )


class _FakeGateway:
    """Records the settings that a gateway is asked to apply."""

    def __init__(self) -> None:
        self.seeds: list[tuple[str, ...]] = []

    def reload(self, settings: InstanceSettings) -> None:
        """Record the seeds of the settings."""
        self.seeds.append(settings.seed_hosts)


class TestStart:
    """Startup of the process."""

    def test_modules(self) -> None:
        """Guards against imports of unused modules, which cost memory per instance."""
        code = (
            "import runpy, sys;"
            f"sys.path += {[path for path in sys.path if 'site-packages' in path]!r};"
            f"runpy.run_path({str(ROOT / 'deploy' / 'instance.py')!r})['main']();"
            "print(*sys.modules)"
        )
        # Without a settings file the daemon exits after its imports.
        run = subprocess.run(
            [sys.executable, "-S", "-c", code],
            capture_output=True,
            text=True,
            check=True,
            env={},
        )
        loaded = set(run.stdout.split())
        assert "currantline.gateway" in loaded
        assert not loaded & {"site", "pathlib", "prometheus_client"}
        assert not loaded & {"eliot", "grpclib", "google.protobuf", "yaml", "_ssl"}


class TestSettingsFile:
    """A settings file that changes while the process runs."""

    def test_replaced(self, tmp_path: Path) -> None:
        """Guards against a daemon that stops watching a file that was missing once."""
        path = tmp_path / "node.toml"
        path.write_text(format_seeds("10.1.0.1"))
        fake_gateway, signalled = _FakeGateway(), asyncio.Event()
        log = EventLog("i", clock=MonotonicClock(), write=len)

        async def scenario() -> None:
            gateway = cast(Gateway, fake_gateway)
            task = asyncio.create_task(
                watch_settings(gateway, str(path), signalled, log)
            )
            await asyncio.sleep(0)
            path.unlink()
            await self._signal(signalled)
            path.write_text(format_seeds("10.1.0.2"))
            await self._signal(signalled)
            task.cancel()

        asyncio.run(scenario())
        assert fake_gateway.seeds == [("10.1.0.2",)]

    async def _signal(self, signalled: asyncio.Event) -> None:
        signalled.set()
        for _ in range(MAX_LOOP_ITERATIONS):
            if not signalled.is_set():
                return
            await asyncio.sleep(0)
        raise AssertionError("the daemon did not handle the signal")
