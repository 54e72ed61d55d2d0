"""The daemon ``currantlined``: one instance."""

import asyncio
import contextlib
import random
import signal
import sys
import time
from collections.abc import Iterator, Sequence
from typing import BinaryIO, NoReturn

import attrs
import eliot
from absl import flags

from currantline import __version__
from currantline.clock import MonotonicClock
from currantline.compose import Instance
from currantline.exceptions import (
    AddressInUseError,
    InstanceFailedError,
    SettingsError,
)
from currantline.lines import escape_line
from currantline.settings import Settings, read_settings

__all__ = ["main", "run", "serve"]

PROGRAM = "currantlined"
EXIT_OK = 0
EXIT_USAGE = 2
EXIT_FAILED = 3

HELP = """\
usage: {program} --settings=FILE

Runs one instance of currantline until SIGTERM or SIGINT. It then leaves: it is no
longer named in address answers, finishes its requests within leave_timeout_ms and
exits with 0. Further signals change nothing; SIGKILL ends it at once.

flags:
  --settings  Path of the settings file (YAML).
  --version   Print the version.
  --help      Print this help.

required settings: {required}
other settings: {optional}

exit codes: 0 left after a signal, 2 flags, settings, log file or addresses cannot
be used, 3 a part of the instance failed, so that it left"""


async def serve(settings: Settings) -> None:
    """Run one instance until SIGTERM or SIGINT, then leave.

    A signal during the start takes effect when the instance has started, so that it
    leaves in the usual way. Further signals change nothing: what stops a daemon may
    send a signal twice, and a second one must not cut off requests in flight.

    Raises
    ------
    AddressInUseError
        If an address from the settings cannot be used.
    InstanceFailedError
        If a task of the instance ended with an error.
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
    failure = await _wait_for_end(instance, stopping)
    await instance.leave()
    if failure is not None:
        raise InstanceFailedError(f"a task ended: {failure!r}") from failure


async def _wait_for_end(
    instance: Instance, stopping: asyncio.Event
) -> BaseException | None:
    # An instance without one of its tasks would act on old knowledge for ever.
    failure = asyncio.create_task(instance.wait_for_failure())
    stop = asyncio.create_task(stopping.wait())
    await asyncio.wait({failure, stop}, return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()
    if failure.done():
        return failure.result()
    failure.cancel()
    return None


def main(argv: Sequence[str]) -> int:
    """Run the daemon.

    Parameters
    ----------
    argv : sequence of str
        Name of the program and flags.

    Returns
    -------
    int
        Exit code.
    """
    values = _define_flags()
    try:
        words = values(list(argv))[1:]
    except flags.Error as error:
        return _print_failure(" ".join(str(error).split()))
    if values["help"].value:
        print(render_help())
        return EXIT_OK
    if values["version"].value:
        print(f"{PROGRAM} {__version__}")
        return EXIT_OK
    if words:
        return _print_failure(f"{words[0]!r}: only flags are allowed")
    if not values["settings"].value:
        return _print_failure("--settings: a path is required")
    return _run_instance(str(values["settings"].value))


def run() -> NoReturn:
    """Entry point of the program."""
    sys.exit(main(sys.argv))


def render_help() -> str:
    """Return the help on the daemon."""
    fields = attrs.fields(Settings)
    required = [field.name for field in fields if field.default is attrs.NOTHING]
    optional = [field.name for field in fields if field.name not in required]
    return HELP.format(
        program=PROGRAM, required=", ".join(required), optional=", ".join(optional)
    )


def _run_instance(path: str) -> int:
    try:
        settings = read_settings(path)
        with _open_log(path, settings.log_path):
            asyncio.run(serve(settings))
    except AddressInUseError as error:
        # The instance knows its settings, not the file that they came from.
        fault = AddressInUseError(error.message, source=path, path=error.path)
        return _print_failure(str(fault))
    except SettingsError as error:
        return _print_failure(str(error))
    except InstanceFailedError as error:
        _print_failure(str(error))
        return EXIT_FAILED
    return EXIT_OK


def _define_flags() -> flags.FlagValues:
    values: flags.FlagValues = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string("settings", "", "Settings file.", flag_values=values)
    flags.DEFINE_boolean("help", False, "Print the help.", flag_values=values)
    flags.DEFINE_boolean("version", False, "Print the version.", flag_values=values)
    return values


@contextlib.contextmanager
def _open_log(source: str, path: str) -> Iterator[None]:
    stream: BinaryIO = sys.stdout.buffer
    if path:
        try:
            stream = open(path, "ab", buffering=0)
        except (OSError, ValueError) as error:
            reason = getattr(error, "strerror", None) or error
            raise SettingsError(
                f"{path!r} cannot be written: {reason}", source=source, path="log_path"
            ) from error
    destination = eliot.FileDestination(file=stream)
    eliot.add_destinations(destination)
    try:
        yield
    finally:
        eliot.remove_destination(destination)
        if path:
            stream.close()


def _print_failure(reason: str) -> int:
    print(f"{PROGRAM}: {escape_line(reason)}", file=sys.stderr)
    return EXIT_USAGE


if __name__ == "__main__":
    run()
