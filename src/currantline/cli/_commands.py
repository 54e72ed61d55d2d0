"""All commands of the tool; a further one is added to the list here."""

from currantline.cli import _check, _diff, _patch

__all__ = ["COMMANDS"]

COMMANDS = {
    command.name: command for command in (_check.COMMAND, _diff.COMMAND, _patch.COMMAND)
}
