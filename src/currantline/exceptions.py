"""Exception hierarchy of currantline."""

import attrs

__all__ = [
    "MALFORMED_DATA_ERRORS",
    "AddressInUseError",
    "BodyTooLargeError",
    "CallerTimeoutError",
    "ChangeError",
    "CommandError",
    "ConfigurationError",
    "ConnectionLimitError",
    "CurrantlineError",
    "HistoryLostError",
    "InstanceFailedError",
    "InvalidValueError",
    "InvariantError",
    "PeerError",
    "PeerTimeoutError",
    "PlatformError",
    "ProtocolError",
    "RecordError",
    "RequestRefusedError",
    "SettingsError",
    "StoreReturnedError",
    "TargetConnectError",
    "TargetError",
    "TargetTimeoutError",
    "UnknownServiceError",
    "WireError",
]


# What decoding JSON, and reading fields of it, raises for malformed data. Decoders turn
# them into an error of the project.
MALFORMED_DATA_ERRORS = (
    AttributeError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


@attrs.define(auto_exc=True)
class CurrantlineError(Exception):
    """Base class of all errors raised by currantline.

    Parameters
    ----------
    message : str
        Human-readable, on one line.
    """

    message: str

    def __str__(self) -> str:
        return self.message


class InvariantError(CurrantlineError):
    """An internal invariant is violated."""


@attrs.define(auto_exc=True)
class InvalidValueError(CurrantlineError):
    """A value from a file or a service is invalid.

    Parameters
    ----------
    message : str
        Why the value is invalid.
    source : str
        File or service that the value came from.
    path : str
        Path of keys to the value, joined by dots.
    """

    source: str = ""
    path: str = ""

    def __str__(self) -> str:
        location = f"{self.source}: {self.path}" if self.path else self.source
        return f"{location}: {self.message}"


class SettingsError(InvalidValueError):
    """A settings file is invalid."""


class ConfigurationError(InvalidValueError):
    """A configuration is invalid."""


class RecordError(CurrantlineError):
    """A published record has no valid position in the log."""


class ChangeError(CurrantlineError):
    """The body of a patch is not a valid list of changes."""


@attrs.define(auto_exc=True)
class CommandError(CurrantlineError):
    """A command of the command-line tool failed.

    Parameters
    ----------
    message : str
        Human-readable, on one line.
    code : int
        Exit code, 2 for wrong usage.
    """

    code: int = 2


class AddressInUseError(SettingsError):
    """An address from the settings is in use by another process."""


class UnknownServiceError(CurrantlineError):
    """The configuration has no service of that name."""


class WireError(CurrantlineError):
    """Reading or writing a message over the network failed."""


@attrs.define(auto_exc=True)
class ProtocolError(WireError):
    """A message violates the HTTP protocol.

    Parameters
    ----------
    message : str
        Human-readable, on one line.
    status : int
        HTTP status that describes the violation.
    """

    status: int = 400


class BodyTooLargeError(WireError):
    """A body exceeds the size limit."""


class CallerTimeoutError(WireError):
    """A caller did not send its request or receive its response in time."""


class NoMemoryForRequestError(WireError):
    """There was no memory for a request, which has not run."""


class NoMemoryForBodyError(NoMemoryForRequestError):
    """There was no memory for the body of a request, which has not run."""


class TargetError(CurrantlineError):
    """An exchange with a target failed."""


class TargetConnectError(TargetError):
    """No connection to the target could be opened; nothing was sent."""


class ConnectionLimitError(TargetError):
    """No connection to the target became free within its limit; nothing was sent."""


class TargetTimeoutError(TargetError):
    """The target did not respond in time."""


class PeerError(CurrantlineError):
    """An exchange with another instance failed."""


class PeerTimeoutError(PeerError):
    """Another instance did not respond in time."""


class PlatformError(CurrantlineError):
    """The configuration service or the published list gave no valid response."""


class HistoryLostError(PlatformError):
    """The platform no longer holds the changes that a watch requested."""


@attrs.define(auto_exc=True)
class StoreReturnedError(PlatformError):
    """The store was restored from a copy, so its answer is no continuation.

    Parameters
    ----------
    message : str
        Human-readable, on one line.
    revision : int
        Lowest revision of the era that the store states.
    """

    revision: int = 0


class InstanceFailedError(CurrantlineError):
    """A component failed, so that the instance left the fleet."""


@attrs.define(auto_exc=True)
class RequestRefusedError(CurrantlineError):
    """A request was refused before any byte of it reached a target.

    Parameters
    ----------
    message : str
        Human-readable, on one line.
    reason : str
        Constant identifier for metrics and the ``currantline-reason`` header.
    """

    reason: str = "refused"
