"""Replica of the records that the platform publishes."""

from currantline.replica._codec import decode_changes, encode_changes
from currantline.replica._reader import PlatformReader
from currantline.replica._record import Record
from currantline.replica._replica import Changes, Replica

__all__ = [
    "Changes",
    "PlatformReader",
    "Record",
    "Replica",
    "decode_changes",
    "encode_changes",
]
