"""Components that connect the packages of one instance."""

from currantline.control._drains import DrainNotifier
from currantline.control._events import EventRecorder
from currantline.control._evidence import list_services_without_evidence
from currantline.control._gate import ReadyGate
from currantline.control._handler import PeerRequestHandler
from currantline.control._limits import LimitUpdater
from currantline.control._metrics import MetricsUpdater
from currantline.control._plan import OwnedTargets
from currantline.control._requester import EvidenceRequester
from currantline.control._sources import EvidenceSources
from currantline.control._status import render_counts, render_event, render_view

__all__ = [
    "DrainNotifier",
    "EventRecorder",
    "EvidenceRequester",
    "EvidenceSources",
    "LimitUpdater",
    "MetricsUpdater",
    "OwnedTargets",
    "PeerRequestHandler",
    "ReadyGate",
    "list_services_without_evidence",
    "render_counts",
    "render_event",
    "render_view",
]
