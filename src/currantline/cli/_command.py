"""Interface of the commands of the tool."""

import enum
from collections.abc import Callable, Mapping
from typing import Any

import attrs
from absl import flags

__all__ = ["Command", "ExitCode", "Invocation", "Report"]


class ExitCode(enum.IntEnum):
    """Exit codes of the tool.

    Python also exits with 1 on an unhandled exception, without a report.
    """

    OK = 0
    ERRORS_FOUND = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    REFUSED = 5
    UNREACHABLE = 6
    TIMED_OUT = 7
    NOT_FOUND = 8


@attrs.frozen(kw_only=True)
class Invocation:
    """Arguments and flags of one call of a command.

    Parameters
    ----------
    arguments : tuple of str
        Positional arguments after the command name.
    flags : FlagValues
        Values of the flags.
    """

    arguments: tuple[str, ...]
    flags: flags.FlagValues

    def read(self, name: str) -> Any:
        """Return the value of a flag."""
        return self.flags[name].value


@attrs.frozen(kw_only=True)
class Report:
    """Output and exit code of a command.

    Parameters
    ----------
    document : object
        JSON output.
    rows : tuple of mapping
        Table output; the keys of the first row are the column headings.
    tables : mapping of str to tuple of mapping
        Additional tables by title.
    code : ExitCode
        Exit code; may report a failure although there is output.
    message : str
        One-line description of missing results, printed to standard error; empty if
        there is nothing to report.
    """

    document: Any
    rows: tuple[Mapping[str, Any], ...]
    tables: Mapping[str, tuple[Mapping[str, Any], ...]] = attrs.field(factory=dict)
    code: ExitCode = ExitCode.OK
    message: str = ""


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
        Names of the required positional arguments.
    rest : str
        Name of a repeatable, optional last argument; empty for none.
    summary : str
        One-line description for the help.
    details : str
        Additional text for the help on this command.
    perform : callable
        Runs the command; raises `CommandError` with an exit code on failure.
    define_flags : callable
        Defines the flags specific to this command.
    text_format : str
        Name of the output format for reading, next to ``json``; the default format.
    """

    name: str
    arguments: tuple[str, ...]
    summary: str
    perform: Callable[[Invocation], Report]
    define_flags: Callable[[flags.FlagValues], None] = _define_none
    rest: str = ""
    details: str = ""
    text_format: str = "table"

    @property
    def usage(self) -> str:
        """Name and arguments for the usage line."""
        rest = (f"[{self.rest}...]",) if self.rest else ()
        return " ".join((self.name, *self.arguments, *rest))
