"""Small parts that connect the slices of one instance."""

from currantline.control._asker import EvidenceAsker
from currantline.control._drains import DrainTeller
from currantline.control._events import EventRecorder
from currantline.control._evidence import find_missing
from currantline.control._feed import MetricsFeed
from currantline.control._gate import ReadyGate
from currantline.control._handler import InstanceHandler
from currantline.control._limits import LimitKeeper
from currantline.control._plan import OwnedTargets
from currantline.control._sources import EvidenceSources
from currantline.control._status import render_counts, render_event, render_view

__all__ = [
    "DrainTeller",
    "EventRecorder",
    "EvidenceAsker",
    "EvidenceSources",
    "InstanceHandler",
    "LimitKeeper",
    "MetricsFeed",
    "OwnedTargets",
    "ReadyGate",
    "find_missing",
    "render_counts",
    "render_event",
    "render_view",
]
