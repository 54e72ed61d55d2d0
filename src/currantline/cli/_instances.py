"""Requests to the operator addresses of instances."""

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
    """Response of one instance, or the reason why there is none.

    Parameters
    ----------
    address : str
        Operator address of the instance.
    document : dict or None
        JSON body of the response; None on failure.
    error : str
        Reason of the failure; empty on success.
    """

    address: str
    document: dict[str, Any] | None = None
    error: str = ""


def define_instance_flags(values: flags.FlagValues) -> None:
    """Define the flags for instance addresses and the response timeout."""
    flags.DEFINE_list(
        "instances",
        [],
        "Operator addresses (operator_address) of the instances, ip:port,ip:port.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "answer_s",
        3.0,
        "Seconds to wait for a response before an instance counts as unreachable.",
        lower_bound=0.001,
        flag_values=values,
    )


def parse_addresses(invocation: Invocation) -> list[str]:
    """Return the addresses from the flag without duplicates.

    Raises
    ------
    CommandError
        If there is no address or one is not ``ip:port``.
    """
    given = [text.strip() for text in invocation.read("instances")]
    found = list(dict.fromkeys(text for text in given if text))
    if not found:
        raise CommandError(
            "--instances: at least one operator address is required", ExitCode.USAGE
        )
    for address in found:
        _check_address(address)
    return found


async def fetch_from_instances(
    addresses: Iterable[str], path: str, *, timeout_ms: float
) -> list[InstanceResponse]:
    """Send a request to all instances concurrently.

    Parameters
    ----------
    addresses : iterable of str
        Operator addresses.
    path : str
        Path that returns a JSON mapping.
    timeout_ms : float
        Maximum time for each response, in milliseconds.

    Returns
    -------
    list of InstanceResponse
        One per address, in the same order.
    """
    fetches = (_fetch(address, path, timeout_ms) for address in addresses)
    return list(await asyncio.gather(*fetches))


def read_timeout(invocation: Invocation) -> float:
    """Return the maximum time for one response, in milliseconds."""
    return float(invocation.read("answer_s")) * MS_PER_SECOND


def describe_unreachable(responses: Sequence[InstanceResponse]) -> str:
    """Describe the instances without a usable response in one line; empty if none."""
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
            address=address, error=f"{path} returned status {response.status}"
        )
    try:
        document = json.loads(response.body)
    except (ValueError, RecursionError):
        return InstanceResponse(address=address, error=f"{path} returned invalid JSON")
    if not isinstance(document, dict):
        return InstanceResponse(
            address=address, error=f"{path} did not return a JSON mapping"
        )
    return InstanceResponse(address=address, document=document)


def _check_address(address: str) -> None:
    field = attrs.fields(InstanceResponse).address
    try:
        check_address(None, field, address)
    except InvalidValueError as error:
        raise CommandError(f"--instances: {error.message}", ExitCode.USAGE) from error
