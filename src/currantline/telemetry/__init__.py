"""Structured logs and metrics of one instance."""

from currantline.telemetry._log import EventLog, open_standard_output
from currantline.telemetry._meter import Histogram, Meter

__all__ = ["EventLog", "Histogram", "Meter", "open_standard_output"]
