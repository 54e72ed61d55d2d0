"""The command ``wait``."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs
from absl import flags

from currantline.cli._command import Command, ExitCode, Invocation, Report
from currantline.cli._instances import (
    MS_PER_SECOND,
    InstanceResponse,
    define_instance_flags,
    fetch_from_instances,
    parse_addresses,
    read_timeout,
)
from currantline.cli._status import list_mappings
from currantline.clock import Clock, MonotonicClock
from currantline.exceptions import CommandError

__all__ = ["COMMAND", "Progress", "measure_progress", "wait_for_version"]

POLL_MS = 200.0

DETAILS = """\
Polls /status of the given instances until each of them, and each other instance
in their views, has the version or a later one in force. One address is enough to
follow the fleet as seen by that instance; with all addresses, unreachable instances
are also reported. After the timeout, exits with 6 if an instance did not respond,
and with 7 if all responded and some have an earlier version in force."""


@attrs.frozen(kw_only=True)
class Progress:
    """Versions in force on the known instances.

    Parameters
    ----------
    versions : dict of str to int
        Version in force by instance name.
    unreachable : tuple of str
        Names, or addresses, of instances without a usable response.
    """

    versions: dict[str, int]
    unreachable: tuple[str, ...] = ()

    def list_behind(self, version: int) -> list[str]:
        """Return the instances with an earlier version."""
        return sorted(
            name for name, in_force in self.versions.items() if in_force < version
        )

    def is_complete(self, version: int) -> bool:
        """Return whether the version is in force on all known instances."""
        return not self.unreachable and not self.list_behind(version)


def measure_progress(
    responses: Iterable[InstanceResponse], names: dict[str, str] | None = None
) -> Progress:
    """Combine the responses of one poll into the versions of all known instances.

    The version of an instance is taken from its response. For an instance that was
    not polled, it is the highest version in the views of the other instances.

    Parameters
    ----------
    responses : iterable of InstanceResponse
        Responses to ``/status``.
    names : dict of str to str, optional
        Names by address from earlier polls; names from this poll are added.
    """
    known = {} if names is None else names
    reported: dict[str, int] = {}
    seen_by_others: dict[str, int] = {}
    without_version = []
    for response in responses:
        document = response.document or {}
        name, version = document.get("instance"), document.get("version")
        if not isinstance(name, str) or type(version) is not int:
            without_version.append(response.address)
            continue
        known[response.address] = name
        reported[name] = version
        for row in list_mappings(document, "view"):
            other, in_force = row.get("name"), row.get("version")
            if isinstance(other, str) and type(in_force) is int:
                seen_by_others[other] = max(in_force, seen_by_others.get(other, 0))
    unreachable = tuple(known.get(address, address) for address in without_version)
    versions = {
        k: v for k, v in {**seen_by_others, **reported}.items() if k not in unreachable
    }
    return Progress(versions=versions, unreachable=unreachable)


async def wait_for_version(
    read: Callable[[], Awaitable[list[InstanceResponse]]],
    version: int,
    *,
    timeout_ms: float,
    clock: Clock,
    sleep: Callable[[float], Awaitable[None]],
) -> Progress:
    """Poll until the version is in force on all instances or the timeout expires.

    Parameters
    ----------
    read : callable
        Fetches the status of all instances.
    version : int
        Version to wait for.
    timeout_ms : float
        Maximum time to wait, in milliseconds.
    clock : Clock
        Source of time.
    sleep : callable
        Sleeps for a duration in milliseconds.
    """
    until = clock.read() + timeout_ms
    names: dict[str, str] = {}
    while True:
        progress = measure_progress(await read(), names)
        if progress.is_complete(version) or clock.read() >= until:
            return progress
        await sleep(min(POLL_MS, until - clock.read()))


def wait_in_force(invocation: Invocation) -> Report:
    """Wait until a version is in force on all known instances."""
    version = invocation.read("version")
    if version is None:
        raise CommandError("--version: a number is required", ExitCode.USAGE)
    addresses = parse_addresses(invocation)
    timeout_ms = read_timeout(invocation)
    progress = asyncio.run(
        wait_for_version(
            lambda: fetch_from_instances(addresses, "/status", timeout_ms=timeout_ms),
            version,
            timeout_ms=invocation.read("timeout_s") * MS_PER_SECOND,
            clock=MonotonicClock(),
            sleep=lambda ms: asyncio.sleep(ms / MS_PER_SECOND),
        )
    )
    return _report(progress, version)


def _report(progress: Progress, version: int) -> Report:
    code, message = _evaluate(progress, version)
    document = {
        "result": code.name.lower(),
        "version": version,
        "versions": progress.versions,
        "behind": progress.list_behind(version),
        "unheard": list(progress.unreachable),
    }
    rows: list[dict[str, Any]] = [
        {
            "instance": name,
            "version": in_force,
            "in_force": "yes" if in_force >= version else "no",
        }
        for name, in_force in sorted(progress.versions.items())
    ]
    rows += [
        {"instance": name, "version": "-", "in_force": "unheard"}
        for name in progress.unreachable
    ]
    return Report(document=document, rows=tuple(rows), code=code, message=message)


def _evaluate(progress: Progress, version: int) -> tuple[ExitCode, str]:
    behind = ", ".join(progress.list_behind(version))
    parts = (
        [f"not heard from {', '.join(progress.unreachable)}"]
        if progress.unreachable
        else []
    )
    parts += [f"version {version} is not in force on {behind}"] if behind else []
    if not parts:
        return ExitCode.OK, ""
    code = ExitCode.UNREACHABLE if progress.unreachable else ExitCode.TIMED_OUT
    return code, "; ".join(parts)


def _define_flags(values: flags.FlagValues) -> None:
    define_instance_flags(values)
    flags.DEFINE_integer(
        "version",
        None,
        "Version to wait for.",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout_s",
        7.0,
        "Maximum time to wait, in seconds.",
        lower_bound=0.0,
        flag_values=values,
    )


COMMAND = Command(
    name="wait",
    arguments=(),
    summary="Wait until a version is in force on all known instances.",
    details=DETAILS,
    perform=wait_in_force,
    define_flags=_define_flags,
)
