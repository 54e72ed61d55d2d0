"""Reading the operators' side of instances."""

import asyncio
import json
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
from absl import flags

from currantline.cli._command import ExitCode, Invocation
from currantline.exceptions import CommandError, InvalidValueError, WireError
from currantline.validators import check_address
from currantline.wire import Request, fetch

__all__ = [
    "InstanceResponse",
    "define_instance_flags",
    "describe_unreachable",
    "fetch_from_instances",
    "parse_addresses",
    "read_timeout",
]

OK = 200
MS_PER_SECOND = 1000.0


@attrs.frozen(kw_only=True)
class InstanceResponse:
    """What one instance answered.

    Parameters
    ----------
    address : str
        Operators' address of the instance.
    document : dict or None
        The answer; None if there is none.
    error : str
        Why there is none.
    """

    address: str
    document: dict[str, Any] | None = None
    error: str = ""


def define_instance_flags(values: flags.FlagValues) -> None:
    """Define the flags that say which instances to ask."""
    flags.DEFINE_list(
        "instances",
        [],
        "Operators' addresses (operator_address) of the instances, ip:port,ip:port.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "answer_s",
        3.0,
        "Seconds after which an instance that does not answer is unreachable.",
        lower_bound=0.001,
        flag_values=values,
    )


def parse_addresses(invocation: Invocation) -> list[str]:
    """Return the addresses given by the flag, each once.

    Raises
    ------
    CommandError
        If there is none or one is not ``ip:port``.
    """
    given = [text.strip() for text in invocation.read("instances")]
    found = list(dict.fromkeys(text for text in given if text))
    if not found:
        raise CommandError(
            "--instances: at least one operators' address is required", ExitCode.USAGE
        )
    for address in found:
        _check_address(address)
    return found


async def fetch_from_instances(
    addresses: Iterable[str], path: str, *, timeout_ms: float
) -> list[InstanceResponse]:
    """Ask all instances at the same time.

    Parameters
    ----------
    addresses : iterable of str
        Operators' addresses.
    path : str
        Path that answers with a JSON mapping.
    timeout_ms : float
        Longest time for one answer, in milliseconds.

    Returns
    -------
    list of InstanceResponse
        One for each address, in order.
    """
    fetches = (_fetch(address, path, timeout_ms) for address in addresses)
    return list(await asyncio.gather(*fetches))


def read_timeout(invocation: Invocation) -> float:
    """Return the longest time for one answer, in milliseconds."""
    return float(invocation.read("answer_s")) * MS_PER_SECOND


def describe_unreachable(responses: Sequence[InstanceResponse]) -> str:
    """Return one line on the instances that gave no answer; empty for none."""
    missing = [f"{r.address} ({r.error})" for r in responses if r.document is None]
    if not missing:
        return ""
    return f"{len(missing)} of {len(responses)} unreachable: {', '.join(missing)}"


async def _fetch(address: str, path: str, timeout_ms: float) -> InstanceResponse:
    request = Request(method="GET", target=path)
    try:
        response = await fetch(address, request, timeout_ms=timeout_ms)
    except WireError as error:
        return InstanceResponse(address=address, error=" ".join(str(error).split()))
    if response.status != OK:
        return InstanceResponse(
            address=address, error=f"{path} answered {response.status}"
        )
    try:
        document = json.loads(response.body)
    except (ValueError, RecursionError):
        return InstanceResponse(
            address=address, error=f"{path} did not answer with JSON"
        )
    if not isinstance(document, dict):
        return InstanceResponse(
            address=address, error=f"{path} did not answer with a mapping"
        )
    return InstanceResponse(address=address, document=document)


def _check_address(address: str) -> None:
    field = attrs.fields(InstanceResponse).address
    try:
        check_address(None, field, address)
    except InvalidValueError as error:
        raise CommandError(f"--instances: {error.message}", ExitCode.USAGE) from error
