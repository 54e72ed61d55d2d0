"""What a command of the tool is."""

import enum
from collections.abc import Callable, Mapping
from typing import Any

import attrs
from absl import flags

__all__ = ["Command", "ExitCode", "Invocation", "Report"]


class ExitCode(enum.IntEnum):
    """Exit codes of the tool; 1 is left to failures of the tool itself."""

    OK = 0
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    REFUSED = 5
    UNREACHABLE = 6


@attrs.frozen(kw_only=True)
class Invocation:
    """What a command is called with.

    Parameters
    ----------
    arguments : tuple of str
        Positional arguments after the command.
    flags : FlagValues
        Values of the flags.
    """

    arguments: tuple[str, ...]
    flags: flags.FlagValues


@attrs.frozen(kw_only=True)
class Report:
    """What a command prints.

    Parameters
    ----------
    document : object
        Output in JSON.
    rows : tuple of mapping
        Output as a table; the keys of the first row are the headings.
    """

    document: Any
    rows: tuple[Mapping[str, Any], ...]


def _define_none(values: flags.FlagValues) -> None:
    pass


@attrs.frozen(kw_only=True)
class Command:
    """A command of the tool.

    Parameters
    ----------
    name : str
        First positional argument.
    arguments : tuple of str
        Names of the further ones.
    summary : str
        One line for the help.
    perform : callable
        Does the work; it raises `CommandError` with an exit code.
    define_flags : callable
        Defines the flags that only this command has.
    """

    name: str
    arguments: tuple[str, ...]
    summary: str
    perform: Callable[[Invocation], Report]
    define_flags: Callable[[flags.FlagValues], None] = _define_none
