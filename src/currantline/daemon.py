"""The daemon ``currantlined``: one instance."""

import asyncio
import random
import signal
import sys
import time

import eliot
from absl import app, flags

from currantline.clock import MonotonicClock
from currantline.compose import Instance
from currantline.exceptions import SettingsError
from currantline.settings import Settings, read_settings

__all__ = ["run"]

EXIT_SETTINGS = 2


async def serve(settings: Settings) -> None:
    """Run one instance until SIGTERM or SIGINT, then leave.

    Raises
    ------
    AddressInUseError
        If an address from the settings cannot be used.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    instance = Instance(
        settings,
        clock=MonotonicClock(),
        rng=random.Random(),
        incarnation=time.time_ns() // 1_000_000,
    )
    await instance.start()
    await stopping.wait()
    await instance.leave()


def main(_: list[str]) -> int:
    """Run the daemon and return its exit code."""
    if not flags.FLAGS.settings:
        print("currantlined: --settings: a path is required", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        settings = read_settings(flags.FLAGS.settings)
        _open_log(settings.log_path)
        asyncio.run(serve(settings))
    except SettingsError as error:
        print(f"currantlined: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    return 0


def run() -> None:
    """Entry point of the program."""
    flags.DEFINE_string("settings", None, "Path of the settings file (YAML).")
    app.run(main)


def _open_log(path: str) -> None:
    try:
        stream = open(path, "ab", buffering=0) if path else sys.stdout.buffer
    except OSError as error:
        raise SettingsError(
            f"cannot be written: {error.strerror}", source=path, path="log_path"
        ) from error
    eliot.to_file(stream)


if __name__ == "__main__":
    run()
