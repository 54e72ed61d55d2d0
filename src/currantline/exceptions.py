"""All errors raised by currantline, in one tree."""

import attrs

__all__ = [
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
    "TargetConnectError",
    "TargetError",
    "TargetTimeoutError",
    "UnknownServiceError",
    "WireError",
]


@attrs.define(auto_exc=True)
class CurrantlineError(Exception):
    """Base of every error raised by currantline.

    Parameters
    ----------
    message : str
        One line for people.
    """

    message: str

    def __str__(self) -> str:
        return self.message


class InvariantError(CurrantlineError):
    """A condition that must always hold does not hold."""


@attrs.define(auto_exc=True)
class InvalidValueError(CurrantlineError):
    """A value read from a file is not allowed.

    Parameters
    ----------
    message : str
        What is allowed.
    source : str
        File or service that the value came from.
    path : str
        Keys that lead to the value, joined by dots.
    """

    source: str = ""
    path: str = ""

    def __str__(self) -> str:
        location = f"{self.source}: {self.path}" if self.path else self.source
        return f"{location}: {self.message}"


class SettingsError(InvalidValueError):
    """A settings file cannot be used."""


class ConfigurationError(InvalidValueError):
    """A configuration cannot be used."""


class RecordError(CurrantlineError):
    """A published record has no place in the log."""


class ChangeError(CurrantlineError):
    """The body of a patch is not a list of changes."""


@attrs.define(auto_exc=True)
class CommandError(CurrantlineError):
    """A command of the command-line tool failed.

    Parameters
    ----------
    message : str
        One line for people.
    code : int
        Exit code, 2 for wrong usage.
    """

    code: int = 2


class AddressInUseError(SettingsError):
    """An address from the settings is taken by another process."""


class UnknownServiceError(CurrantlineError):
    """No service of that name is in the configuration."""


class WireError(CurrantlineError):
    """A message on the wire cannot be used."""


@attrs.define(auto_exc=True)
class ProtocolError(WireError):
    """The other side broke the HTTP protocol.

    Parameters
    ----------
    message : str
        One line for people.
    status : int
        HTTP status that describes the fault.
    """

    status: int = 400


class BodyTooLargeError(WireError):
    """A body exceeds the size limit."""


class CallerTimeoutError(WireError):
    """A request did not arrive, or an answer was not taken, in time."""


class TargetError(CurrantlineError):
    """An exchange with a target failed."""


class TargetConnectError(TargetError):
    """No connection to the target could be opened; nothing was sent."""


class ConnectionLimitError(TargetError):
    """All allowed connections to the target stayed in use; nothing was sent."""


class TargetTimeoutError(TargetError):
    """The target did not answer in time."""


class PeerError(CurrantlineError):
    """An exchange with another instance failed."""


class PeerTimeoutError(PeerError):
    """Another instance did not answer in time."""


class PlatformError(CurrantlineError):
    """The configuration service or the published list gave no usable answer."""


class HistoryLostError(PlatformError):
    """The platform no longer has the changes that a watch asked for."""


class InstanceFailedError(CurrantlineError):
    """A part of the instance ended with an error, so that the instance left."""


@attrs.define(auto_exc=True)
class RequestRefusedError(CurrantlineError):
    """A request is refused and no byte of it reached a target.

    Parameters
    ----------
    message : str
        One line for people.
    reason : str
        Short fixed word for metrics and the ``currantline-reason`` header.
    """

    reason: str = "refused"
