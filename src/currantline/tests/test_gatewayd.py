"""Tests of the daemon on the users' platform."""

import asyncio
import os
import subprocess
import sys
from pathlib import Path
from typing import Any, cast

import pytest

import currantline
from currantline import gatewayd
from currantline.clock import MonotonicClock
from currantline.gateway import Gateway
from currantline.gatewayd import read_mtime_ns, watch_settings
from currantline.hedging import HEDGE_LIMIT_VARIABLE
from currantline.platform import SETTINGS_VARIABLE, InstanceSettings
from currantline.platform.samples import format_settings, make_settings
from currantline.standin.network import Network, run_session
from currantline.telemetry import EventLog

# Iterations of the event loop to wait for a signal to be handled; one is enough.
MAX_LOOP_ITERATIONS = 100

ROOT = Path(currantline.__file__).parents[2]


def format_seeds(seed: str) -> str:
    """Return the text of a settings file with one seed."""
    return format_settings(
        make_settings("10.1.0.9", "a", seeds=(seed,), data_centres=("a",))
    )


def run_main(after: str, *, before: str = "") -> str:
    """Run the main function of an instance and return what the code after it prints.

    Without a settings file it returns after its imports.
    """
    code = (
        "import runpy, sys\n"
        f"sys.path += {[path for path in sys.path if 'site-packages' in path]!r}\n"
        f"main = runpy.run_path({str(ROOT / 'deploy' / 'instance.py')!r})['main']\n"
        f"{before}\n"
        "main()\n"
        f"{after}\n"
    )
    run = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={},
    )
    return run.stdout


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
        loaded = set(run_main("print(*sys.modules)").split())
        assert "currantline.gateway" in loaded
        assert not loaded & {"site", "pathlib", "prometheus_client"}
        assert not loaded & {"eliot", "grpclib", "google.protobuf", "yaml", "_ssl"}

    @pytest.mark.parametrize(
        ("text", "code", "limits"),
        [(None, 0, [None]), ("0.02", 0, [0.02]), ("2%", 2, [])],
    )
    def test_hedge_limit(
        self,
        text: str | None,
        code: int,
        limits: list[float | None],
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against a limit of hedges that is not read, or an invalid one."""
        path = tmp_path / "node.toml"
        path.write_text(format_seeds("10.1.0.1"))
        served: list[float | None] = []

        async def serve(*arguments: Any) -> int:
            served.append(arguments[-1])
            return 0

        monkeypatch.setattr(gatewayd, "_serve", serve)
        monkeypatch.setattr(gatewayd, "return_large_blocks", lambda: None)
        monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
        monkeypatch.delenv(HEDGE_LIMIT_VARIABLE, raising=False)
        if text is not None:
            monkeypatch.setenv(HEDGE_LIMIT_VARIABLE, text)
        assert (gatewayd.run(), served) == (code, limits)

    def test_reload_signal(self) -> None:
        """Guards against a SIGHUP that ends a process that is still starting."""
        send_at_each_import = (
            "import os, signal\n"
            "class Finder:\n"
            "    def find_spec(self, *args):\n"
            "        os.kill(os.getpid(), signal.SIGHUP)\n"
            "sys.meta_path.insert(0, Finder())\n"
        )
        assert run_main("print('ended')", before=send_at_each_import) == "ended\n"


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
                watch_settings(gateway, str(path), signalled, log, mtime_ns=0)
            )
            await asyncio.sleep(0)
            path.unlink()
            await self._signal(signalled)
            path.write_text(format_seeds("10.1.0.2"))
            await self._signal(signalled)
            task.cancel()

        asyncio.run(scenario())
        assert fake_gateway.seeds == [("10.1.0.2",)]

    def test_changed_at_start(self, tmp_path: Path) -> None:
        """Guards against a change that comes before the file is watched."""
        path = tmp_path / "node.toml"
        path.write_text(format_seeds("10.1.0.1"))
        mtime_ns = read_mtime_ns(str(path))
        path.write_text(format_seeds("10.1.0.2"))
        os.utime(path, ns=(mtime_ns + 1, mtime_ns + 1))
        fake_gateway = _FakeGateway()
        log = EventLog("i", clock=MonotonicClock(), write=len)

        async def scenario() -> None:
            gateway = cast(Gateway, fake_gateway)
            task = asyncio.create_task(
                watch_settings(
                    gateway, str(path), asyncio.Event(), log, mtime_ns=mtime_ns
                )
            )
            await asyncio.sleep(5.0)
            task.cancel()

        run_session(Network(), scenario())
        assert fake_gateway.seeds == [("10.1.0.2",)]

    async def _signal(self, signalled: asyncio.Event) -> None:
        signalled.set()
        for _ in range(MAX_LOOP_ITERATIONS):
            if not signalled.is_set():
                return
            await asyncio.sleep(0)
        raise AssertionError("the daemon did not handle the signal")
