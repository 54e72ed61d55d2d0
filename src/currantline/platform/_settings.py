"""Decoding of the platform's settings file into the settings of an instance."""

import tomllib
from collections.abc import Mapping
from typing import Any

import attrs

from currantline.exceptions import (
    MALFORMED_DATA_ERRORS,
    InvalidValueError,
    SettingsError,
)
from currantline.placement import WarmupTerms
from currantline.routing import RetryBudgetOptions
from currantline.validators import (
    check_address,
    check_at_least,
    check_ip,
    check_not_negative,
    check_port,
    check_positive,
    is_address,
)

__all__ = ["SETTINGS_VARIABLE", "InstanceSettings", "decode_settings", "read_settings"]

SETTINGS_VARIABLE = "CURRANTLINE_BOOT"

BYTES_PER_S_PER_MBPS = 125_000.0
DEFAULT_LINK_MBPS = 1_000.0
# The smallest number that a deployment has stated.
DEFAULT_MAX_DESCRIPTORS = 4_100


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """Settings of one instance on the users' platform.

    Parameters
    ----------
    name : str
        Name of the machine.
    host : str
        IP address of the machine.
    data_centre : str
        Data centre of the machine.
    data_centres : tuple of str
        All data centres, sorted by name.
    caller_address : str
        Listen address for requests from callers.
    readiness_address : str
        Listen address for the platform's readiness checks.
    directory_address : str
        Listen address for callers' address lookups.
    control_address : str
        Listen address that the platform publishes as a seed.
    peer_port : int
        Port for datagrams and calls between instances, the same on all machines.
    permit_port : int
        Port for datagrams about limits of targets, the same on all machines.
    seed_hosts : tuple of str
        Hosts to contact while no other instances are known.
    refused_seeds : tuple of str
        Seeds that are not ``ip:port`` and are not contacted.
    store_address : str
        Address of the platform's store.
    store_recovery_ms : float
        Time in milliseconds after an outage of the store by which its changes must be
        in force again.
    retry_options : RetryBudgetOptions
        Retry budget of the fleet for each service.
    directory_ttl_s : float
        Maximum time in seconds for which callers may cache resolved addresses.
    grace_ms : float
        Time in milliseconds between SIGTERM and SIGKILL.
    max_probes_per_s : int
        Maximum number of health checks of one target per second, from all instances.
    warmup_terms : WarmupTerms or None
        Terms of the bound on the requests to targets that warm up, None for no bound.
    memory_bytes : int
        Memory of the machine. A process that exceeds it is killed.
    cores : float
        Processor time per second that the instance may use.
    link_bytes_per_s : float
        Bytes per second that the link of the machine carries in each direction.
    max_descriptors : int
        Maximum number of descriptors of the process.
    """

    name: str
    host: str = attrs.field(validator=check_ip)
    data_centre: str
    data_centres: tuple[str, ...]
    caller_address: str = attrs.field(validator=check_address)
    readiness_address: str = attrs.field(validator=check_address)
    directory_address: str = attrs.field(validator=check_address)
    control_address: str = attrs.field(validator=check_address)
    peer_port: int = attrs.field(validator=check_port)
    permit_port: int = attrs.field(validator=check_port)
    seed_hosts: tuple[str, ...]
    refused_seeds: tuple[str, ...] = ()
    store_address: str = attrs.field(validator=check_address)
    store_recovery_ms: float = attrs.field(validator=check_not_negative)
    retry_options: RetryBudgetOptions
    directory_ttl_s: float = attrs.field(validator=check_not_negative)
    grace_ms: float = attrs.field(validator=check_not_negative)
    max_probes_per_s: int
    warmup_terms: WarmupTerms | None = None
    memory_bytes: int = attrs.field(validator=check_at_least(1))
    cores: float = attrs.field(validator=check_positive)
    link_bytes_per_s: float = attrs.field(validator=check_positive)
    max_descriptors: int = attrs.field(
        default=DEFAULT_MAX_DESCRIPTORS, validator=check_at_least(1)
    )


def read_settings(path: str) -> InstanceSettings:
    """Read and validate the settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a value is missing or invalid.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsError(f"cannot be read: {reason}", source=path) from error
    except MALFORMED_DATA_ERRORS as error:
        raise SettingsError(f"not TOML: {error}", source=path) from error
    return decode_settings(document, source=path)


def decode_settings(document: Mapping[str, Any], *, source: str) -> InstanceSettings:
    """Build the settings from a parsed file; unknown fields are ignored.

    Raises
    ------
    SettingsError
        If a value is missing or invalid.
    """
    try:
        node, network = document["selfNode"], document["network"]
        listen, bounds = network["listen"], document["terms"]["bounds"]
        zones = network.get("zones") or {node["zone"]: node["region"]}
        return InstanceSettings(
            name=str(node["nodeName"]),
            host=str(node["ip"]),
            data_centre=str(node["zone"]),
            data_centres=tuple(sorted({*zones, node["zone"]})),
            caller_address=listen["front"],
            readiness_address=listen["ready"],
            directory_address=listen["directory"],
            control_address=listen["control"],
            peer_port=int(network["internalPortRange"][0]),
            permit_port=int(network["internalPortRange"][0]) + 1,
            **_decode_seeds(network.get("seeds") or []),
            store_address=document["platform"]["platform"]["address"],
            store_recovery_ms=float(bounds["stableMs"]),
            retry_options=RetryBudgetOptions(
                ratio=float(bounds["retryBudgetRatio"]),
                slack=float(bounds["retryBudgetSlack"]),
                window_ms=1000.0 * float(bounds["budgetWindowS"]),
            ),
            directory_ttl_s=float(bounds["ttl_max_s"]),
            grace_ms=1000.0 * float(bounds["graceS"]),
            max_probes_per_s=max(1, int(bounds["probesPerS"])),
            warmup_terms=_decode_warmup_terms(bounds),
            memory_bytes=int(node["limits"]["memoryMb"]) * 1_000_000,
            cores=_decode_cores(node["limits"]),
            link_bytes_per_s=_decode_link(node["limits"]),
            max_descriptors=int(node["limits"].get("maxFds", DEFAULT_MAX_DESCRIPTORS)),
        )
    except KeyError as error:
        key = str(error.args[0])
        raise SettingsError(
            "required key is missing", source=source, path=key
        ) from error
    except (*MALFORMED_DATA_ERRORS, InvalidValueError) as error:
        raise SettingsError(f"invalid value: {error}", source=source) from error


def _decode_warmup_terms(bounds: Mapping[str, Any]) -> WarmupTerms | None:
    overrun, slack = bounds.get("warmupOverrun"), bounds.get("warmupSlack")
    if overrun is None or slack is None:
        return None
    return WarmupTerms(overrun=float(overrun), slack=float(slack))


def _decode_cores(limits: Mapping[str, Any]) -> float:
    return float(limits.get("cpuShare", 1.0)) * float(limits.get("cpuCores", 1.0))


def _decode_link(limits: Mapping[str, Any]) -> float:
    return float(limits.get("linkMbps", DEFAULT_LINK_MBPS)) * BYTES_PER_S_PER_MBPS


def _decode_seeds(seeds: Any) -> dict[str, Any]:
    if not isinstance(seeds, list):
        raise InvalidValueError(f"{seeds!r:.80} is not a list", path="seeds")
    texts = [str(seed) for seed in seeds]
    return {
        "seed_hosts": tuple(t.rpartition(":")[0] for t in texts if is_address(t)),
        "refused_seeds": tuple(t for t in texts if not is_address(t)),
    }
