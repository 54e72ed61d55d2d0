"""Parsing of the command line and printing of reports."""

import io
import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NoReturn

from absl import flags

from currantline.cli._command import Command, ExitCode, Invocation, Report
from currantline.cli._commands import COMMANDS
from currantline.exceptions import CommandError
from currantline.lines import escape_line

__all__ = ["main", "run"]

PROGRAM = "currantline"
FLAG_WIDTH = 14


def main(argv: Sequence[str]) -> int:
    """Run one command.

    Parameters
    ----------
    argv : sequence of str
        Name of the program, command and arguments.

    Returns
    -------
    int
        An `ExitCode`.
    """
    name, command, values = "", None, _define_flags([])
    try:
        name = _find_command_name(argv)
        command = COMMANDS.get(name)
        values = _define_flags([command] if command else [])
        words = values(list(argv))[1:]
        if values["help"].value:
            print(render_help(command))
            return ExitCode.OK
        if command is None:
            raise CommandError(_describe_unknown_command(name), ExitCode.USAGE)
        report = _perform(command, tuple(words[1:]), values)
    except flags.Error as error:
        reason = " ".join(str(error).split())
        return _print_failure(name, CommandError(reason, ExitCode.USAGE), False)
    except CommandError as error:
        return _print_failure(name, error, values["output"].value == "json")
    if values["output"].value == "json":
        print(json.dumps(report.document, indent=2))
    else:
        print(render_report(report))
    if report.message:
        print(f"{PROGRAM} {name}: {escape_line(report.message)}", file=sys.stderr)
    return report.code


def run() -> NoReturn:
    """Entry point of the program."""
    # Names may have characters that the encoding of the terminal lacks.
    if isinstance(sys.stdout, io.TextIOWrapper):
        sys.stdout.reconfigure(errors="backslashreplace")
    sys.exit(main(sys.argv))


def render_report(report: Report) -> str:
    """Format the tables of a report; additional tables have titles."""
    parts = [render_table(report.rows)]
    for title, rows in report.tables.items():
        parts.append(f"{title}:\n{render_table(rows)}")
    return "\n\n".join(parts)


def render_table(rows: Iterable[Mapping[str, Any]]) -> str:
    """Format rows as aligned columns with headings.

    Examples
    --------
    >>> print(render_table([{"name": "a", "slots": 2}, {"name": "bcdef", "slots": 1}]))
    NAME   SLOTS
    a      2
    bcdef  1
    """
    found = [
        {key: escape_line(str(value)) for key, value in row.items()} for row in rows
    ]
    if not found:
        return "nothing to show"
    headings = {key: key.upper() for key in found[0]}
    lines = [headings, *found]
    widths = {key: max(len(line.get(key, "")) for line in lines) for key in headings}
    return "\n".join(
        "  ".join(line.get(key, "").ljust(widths[key]) for key in headings).rstrip()
        for line in lines
    )


def render_help(command: Command | None) -> str:
    """Return the help text of one command or of the tool."""
    shown = [command] if command else list(COMMANDS.values())
    if command is None:
        width = max(len(each.usage) for each in shown)
        lines = [f"usage: {PROGRAM} COMMAND [ARGUMENTS] [FLAGS]", "", "commands:"]
        lines += [f"  {each.usage.ljust(width)}  {each.summary}" for each in shown]
        lines += ["", f"`{PROGRAM} COMMAND --help` explains one command."]
    else:
        lines = [f"usage: {PROGRAM} {command.usage} [FLAGS]", "", command.summary]
        lines += ["", command.details] if command.details else []
    codes = ", ".join(f"{code.value} {code.name.lower()}" for code in ExitCode)
    return "\n".join(
        [*lines, "", "flags:", *_describe_flags(shown), "", f"exit codes: {codes}"]
    )


def _find_command_name(argv: Sequence[str]) -> str:
    """Return the name of the command; only common flags may precede it."""
    words = _define_flags([])(list(argv), known_only=True)[1:]
    return next((word for word in words if not word.startswith("-")), "")


def _define_flags(commands: Sequence[Command]) -> flags.FlagValues:
    values: flags.FlagValues = flags.FlagValues()  # type: ignore[no-untyped-call]
    values.set_gnu_getopt(True)
    # Before the command is known, the formats of all commands are accepted.
    known = commands or COMMANDS.values()
    formats = sorted({"json", *(command.text_format for command in known)})
    flags.DEFINE_enum(
        "output",
        commands[0].text_format if commands else "table",
        formats,
        "Output format.",
        flag_values=values,
    )
    flags.DEFINE_boolean("help", False, "Print this help.", flag_values=values)
    for command in commands:
        command.define_flags(values)
    return values


def _describe_flags(commands: Sequence[Command]) -> list[str]:
    """Return a line per flag; flags of some commands only list these commands."""
    common = _list_flags(_define_flags([]))
    commands_by_flag: dict[str, list[str]] = {name: [] for name in common}
    found = dict(common)
    for command in commands:
        for name, flag in _list_flags(_define_flags([command])).items():
            found[name] = flag
            if name not in common:
                commands_by_flag.setdefault(name, []).append(command.name)
    lines = []
    for name in sorted(found):
        names = (
            f" ({', '.join(commands_by_flag[name])})"
            if commands_by_flag[name] and len(commands) > 1
            else ""
        )
        lines.append(f"  {f'--{name}'.ljust(FLAG_WIDTH)}  {found[name].help}{names}")
    return lines


def _list_flags(values: flags.FlagValues) -> dict[str, Any]:
    by_name = {values[name].name: values[name] for name in values}
    return {
        name: by_name[name] for name in by_name if name not in ("flagfile", "undefok")
    }


def _describe_unknown_command(name: str) -> str:
    known = ", ".join(COMMANDS)
    if not name:
        return f"a command is required: {known}"
    return f"{name!r} is not a command; the commands are {known}"


def _perform(
    command: Command, arguments: tuple[str, ...], values: flags.FlagValues
) -> Report:
    extra = len(arguments) - len(command.arguments)
    if extra < 0 or (extra > 0 and not command.rest):
        raise CommandError(
            f"{len(command.arguments)} arguments are required "
            f"({' '.join(command.arguments)}), not {len(arguments)}",
            ExitCode.USAGE,
        )
    return command.perform(Invocation(arguments=arguments, flags=values))


def _print_failure(name: str, error: CommandError, is_json: bool) -> int:
    result = ExitCode(error.code)
    if is_json:
        document = {"result": result.name.lower(), "message": error.message}
        print(json.dumps(document, indent=2))
    program = f"{PROGRAM} {name}" if name in COMMANDS else PROGRAM
    print(f"{program}: {escape_line(error.message)}", file=sys.stderr)
    return result
