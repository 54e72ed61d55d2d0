"""Registry of the commands of the tool."""

from currantline.cli import (
    _audit,
    _check,
    _check_gateway,
    _diff,
    _explain,
    _patch,
    _status,
    _wait,
)

__all__ = ["COMMANDS"]

COMMANDS = {
    command.name: command
    for command in (
        _check.COMMAND,
        _check_gateway.COMMAND,
        _diff.COMMAND,
        _patch.COMMAND,
        _status.COMMAND,
        _wait.COMMAND,
        _explain.COMMAND,
        _audit.COMMAND,
    )
}
