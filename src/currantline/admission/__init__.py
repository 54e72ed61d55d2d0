"""Which request goes next, and which is refused."""

from currantline.admission._lengths import LengthEstimator
from currantline.admission._queue import (
    Admitted,
    QueueOptions,
    QueueSummary,
    Rejected,
    WaitingQueue,
)
from currantline.admission._work import Work

__all__ = [
    "Admitted",
    "LengthEstimator",
    "QueueOptions",
    "QueueSummary",
    "Rejected",
    "WaitingQueue",
    "Work",
]
