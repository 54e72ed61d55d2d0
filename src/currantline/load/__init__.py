"""Target state, load reports and health probes."""

from typing import TYPE_CHECKING

from currantline.lazy import import_lazily
from currantline.load._budget import ProbeBudget, count_share_holders
from currantline.load._evidence_requests import EvidenceRequestSchedule
from currantline.load._notices import NoticeSchedule, TargetNotice
from currantline.load._observation import (
    LoadReport,
    Observation,
    Signal,
    TargetState,
    parse_load,
)
from currantline.load._options import LoadOptions
from currantline.load._requested_targets import RequestedTargets
from currantline.load._share import ShareRights
from currantline.load._target_tracker import TargetStatus, TargetTracker

if TYPE_CHECKING:
    from currantline.load._prober import ProbeFetch, ProbePlan, Prober, fetch_health

__all__ = [
    "EvidenceRequestSchedule",
    "LoadOptions",
    "LoadReport",
    "NoticeSchedule",
    "Observation",
    "ProbeBudget",
    "ProbeFetch",
    "ProbePlan",
    "Prober",
    "RequestedTargets",
    "ShareRights",
    "Signal",
    "TargetNotice",
    "TargetState",
    "TargetStatus",
    "TargetTracker",
    "count_share_holders",
    "fetch_health",
    "parse_load",
]

# The prober uses tasks and sockets. It is imported on first use, so that the decision
# logic of this package can be used without them. The `__getattr__` is hidden from
# mypy, which would otherwise accept any attribute name.
if not TYPE_CHECKING:
    __getattr__ = import_lazily(
        __name__,
        {
            "_prober": (
                "ProbeFetch",
                "ProbePlan",
                "Prober",
                "fetch_health",
            ),
        },
    )
