"""Admission control: queueing, ordering and refusal of requests."""

from currantline.admission._durations import DurationEstimator
from currantline.admission._queue import (
    Admitted,
    QueueOptions,
    QueueSummary,
    Rejected,
    WaitingQueue,
)
from currantline.admission._work import WorkItem

__all__ = [
    "Admitted",
    "DurationEstimator",
    "QueueOptions",
    "QueueSummary",
    "Rejected",
    "WaitingQueue",
    "WorkItem",
]
