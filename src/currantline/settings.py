"""Settings of one daemon, read from a YAML file."""

from pathlib import Path
from typing import Any

import attrs
import cattrs
import yaml

from currantline.exceptions import SettingsError
from currantline.structure import describe_failure, make_converter
from currantline.validators import check_address

__all__ = ["Seed", "Settings", "read_settings"]


@attrs.frozen(kw_only=True)
class Seed:
    """Another instance to contact at start.

    Parameters
    ----------
    name : str
        Name of the instance.
    peer_address : str
        IP address and port for other instances.
    """

    name: str
    peer_address: str = attrs.field(validator=check_address)


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one daemon.

    Parameters
    ----------
    name : str
        Name of the instance.
    data_centre : str
        Data centre of the instance.
    caller_address : str
        IP address and port for callers.
    peer_address : str
        IP address and port for other instances.
    operator_address : str
        IP address and port for operators.
    platform_address : str
        IP address and port of the configuration service and the published list.
    seeds : tuple of Seed
        Instances to contact before the published list is read.
    leave_timeout_ms : float
        Maximum time to complete requests in flight on leaving, in milliseconds.
    max_body_bytes : int
        Maximum size of bodies from callers and targets, in bytes.
    log_path : str
        Path of the log file; standard output if empty.
    """

    name: str
    data_centre: str
    caller_address: str = attrs.field(validator=check_address)
    peer_address: str = attrs.field(validator=check_address)
    operator_address: str = attrs.field(validator=check_address)
    platform_address: str = attrs.field(validator=check_address)
    seeds: tuple[Seed, ...] = ()
    leave_timeout_ms: float = 20_000.0
    max_body_bytes: int = 16 * 1024 * 1024
    log_path: str = ""


def read_settings(path: str) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        Path of the file.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a key or value is not allowed.
    """
    try:
        document: Any = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsError(f"cannot be read: {reason}", source=path) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        reason = " ".join(str(error).split())
        raise SettingsError(f"not YAML: {reason}", source=path) from error
    if not isinstance(document, dict):
        raise SettingsError("a mapping is required", source=path)
    try:
        return make_converter().structure(document, Settings)
    except cattrs.BaseValidationError as error:
        key, reason = describe_failure(error)
        raise SettingsError(reason, source=path, path=key) from error
