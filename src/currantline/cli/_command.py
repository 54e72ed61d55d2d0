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
    TIMED_OUT = 7
    NOT_FOUND = 8


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

    def read(self, name: str) -> Any:
        """Return the value of a flag."""
        return self.flags[name].value


@attrs.frozen(kw_only=True)
class Report:
    """What a command prints.

    Parameters
    ----------
    document : object
        Output in JSON.
    rows : tuple of mapping
        Output as a table; the keys of the first row are the headings.
    tables : mapping of str to tuple of mapping
        Further tables by their titles.
    code : ExitCode
        Exit code of a command that has something to print but did not succeed.
    message : str
        One line for people on what is missing; empty for success.
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
        Names of the further ones.
    rest : str
        Name of any number of arguments that may follow; empty for none.
    summary : str
        One line for the help.
    details : str
        Lines for the help on this command alone.
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
    rest: str = ""
    details: str = ""

    @property
    def usage(self) -> str:
        """Name and arguments, as one types them."""
        rest = (f"[{self.rest}...]",) if self.rest else ()
        return " ".join((self.name, *self.arguments, *rest))
