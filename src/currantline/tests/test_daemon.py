"""Tests that run the daemon within the test process."""

import asyncio
import os
import signal
import socket
from pathlib import Path

import attrs
import pytest
import yaml

from currantline import __version__
from currantline.daemon import main, serve
from currantline.exceptions import InvariantError
from currantline.membership import ListReader
from currantline.settings import Settings, read_settings

KEYS = ("caller_address", "peer_address", "operator_address", "platform_address")


def find_free_addresses() -> dict[str, str]:
    """Return an unused loopback address for each key."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in KEYS]
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return {key: f"127.0.0.1:{port}" for key, port in zip(KEYS, ports, strict=True)}


def write_settings(folder: Path, **changes: object) -> str:
    """Write a settings file with changed values and return its path."""
    document = {
        "name": "i1",
        "data_centre": "north",
        "leave_timeout_ms": 2,
        "log_path": str(folder / "log"),
        **find_free_addresses(),
        **changes,
    }
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(document))
    return str(path)


class TestMain:
    """Command line and start of the daemon."""

    def test_help(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a setting or flag that is missing from the help."""
        assert main(["currantlined", "--help"]) == 0
        text = capsys.readouterr().out
        for word in ("--settings", "--version", "SIGTERM", "exit codes"):
            assert word in text
        for field in attrs.fields(Settings):
            assert field.name in text

    def test_version(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a daemon that does not report its version."""
        assert main(["currantlined", "--version"]) == 0
        assert capsys.readouterr().out == f"currantlined {__version__}\n"

    @pytest.mark.parametrize(
        ("arguments", "message"),
        [
            ([], "--settings: a path is required"),
            (["--setings=a"], "setings"),
            (["start"], "'start': only flags"),
            (["--settings=/none/a.yaml"], "/none/a.yaml: cannot be read: No such file"),
        ],
    )
    def test_bad_flags(
        self, arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against a traceback, or a daemon that runs despite bad flags."""
        assert main(["currantlined", *arguments]) == 2
        printed = capsys.readouterr().err
        assert message in printed
        assert printed.count("\n") == 1

    @pytest.mark.parametrize(
        ("changes", "key"),
        [
            ({"name": 3}, "name"),
            ({"a\nb": 3}, r"a\nb"),
            ({"log_path": "/none/folder/log"}, "log_path"),
            ({"log_path": "/"}, "log_path"),
            ({"log_path": "a\0b"}, "log_path"),
        ],
    )
    def test_bad_settings(
        self,
        changes: dict[str, object],
        key: str,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against an error that does not name file, key and reason."""
        path = write_settings(tmp_path, **changes)
        assert main(["currantlined", f"--settings={path}"]) == 2
        printed = capsys.readouterr().err
        assert printed.startswith(f"currantlined: {path}: {key}: ")
        assert printed.count("\n") == 1

    @pytest.mark.parametrize("key", KEYS[:3])
    def test_address_in_use(
        self, key: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against a startup error that does not name the occupied address."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            path = write_settings(tmp_path, **{key: address})
            assert main(["currantlined", f"--settings={path}"]) == 2
        printed = capsys.readouterr().err
        assert printed.startswith(f"currantlined: {path}: {key}: cannot listen on")
        assert address in printed
        assert printed.count("\n") == 1


class TestServe:
    """Shutdown of a running daemon."""

    def test_failed_part(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against an instance that keeps running after a task failed."""

        async def fail(_: ListReader) -> None:
            raise InvariantError("broken on purpose")

        monkeypatch.setattr(ListReader, "run", fail)
        path = write_settings(tmp_path)
        assert main(["currantlined", f"--settings={path}"]) == 3
        assert "broken on purpose" in capsys.readouterr().err

    def test_signal_during_start(self, tmp_path: Path) -> None:
        """Guards against an early signal that is ignored or skips the graceful stop."""
        path = write_settings(tmp_path)

        async def stop_early() -> None:
            serving = asyncio.create_task(serve(read_settings(path)))
            # The task installs its signal handlers before its first suspension point.
            await asyncio.sleep(0)
            os.kill(os.getpid(), signal.SIGTERM)
            await serving

        asyncio.run(stop_early())

    def test_second_signal(self, tmp_path: Path) -> None:
        """Guards against a second signal that aborts a request in flight."""
        settings = read_settings(write_settings(tmp_path))
        settings = attrs.evolve(settings, leave_timeout_ms=1_000.0)

        async def stop_twice() -> bytes:
            serving = asyncio.create_task(serve(settings))
            await asyncio.sleep(0)
            host, _, port = settings.caller_address.rpartition(":")
            reader, writer = await _connect(host, int(port))
            writer.write(b"GET /services/a/ HTTP/1.1\r\n")
            await writer.drain()
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGTERM)
            writer.write(b"host: a\r\n\r\n")
            response = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            await serving
            return response

        response = asyncio.run(stop_twice())
        assert b"currantline-outcome: not-run" in response


async def _connect(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    while True:
        try:
            return await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            await asyncio.sleep(0)
