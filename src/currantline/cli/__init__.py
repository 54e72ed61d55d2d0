"""The command-line tool ``currantline``."""

from currantline.cli._command import Command, ExitCode, Invocation, Report
from currantline.cli._program import main, run

__all__ = ["Command", "ExitCode", "Invocation", "Report", "main", "run"]
