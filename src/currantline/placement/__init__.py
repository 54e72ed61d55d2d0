"""Target selection: known targets, their load and health, and the choice."""

from currantline.placement._admission import (
    RequestTiming,
    find_cold_rank,
    find_in_time_wait_ms,
    find_max_cold_wait_ms,
    find_max_wait_ms,
    find_refusal_reason,
    has_good_candidate,
    is_overdue,
    select_candidate,
    select_hedge_candidate,
)
from currantline.placement._availability import (
    Unavailability,
    UnavailabilityReason,
    describe_unavailability,
    find_next_available_ms,
    find_pause,
    find_unavailability,
)
from currantline.placement._choice import (
    Candidate,
    choose_candidate,
    estimate_response_ms,
    find_optimal_concurrency,
)
from currantline.placement._latency import LatencyAverages
from currantline.placement._load_report import LoadReport, parse_load_header
from currantline.placement._passive_health import PassiveHealth
from currantline.placement._probe_limit import ProbeLimit
from currantline.placement._probe_targets import choose_probe_targets
from currantline.placement._rate_limit import RateLimit, parse_rate_limit
from currantline.placement._registry import TargetRegistry
from currantline.placement._start_history import StartHistory
from currantline.placement._target import PublishedTarget, Target
from currantline.placement._warmup import WarmupBound, WarmupTerms, parse_warmup

__all__ = [
    "Candidate",
    "LatencyAverages",
    "LoadReport",
    "PassiveHealth",
    "ProbeLimit",
    "PublishedTarget",
    "RateLimit",
    "RequestTiming",
    "StartHistory",
    "Target",
    "TargetRegistry",
    "Unavailability",
    "UnavailabilityReason",
    "WarmupBound",
    "WarmupTerms",
    "choose_candidate",
    "choose_probe_targets",
    "describe_unavailability",
    "estimate_response_ms",
    "find_cold_rank",
    "find_in_time_wait_ms",
    "find_max_cold_wait_ms",
    "find_max_wait_ms",
    "find_next_available_ms",
    "find_optimal_concurrency",
    "find_pause",
    "find_refusal_reason",
    "find_unavailability",
    "has_good_candidate",
    "is_overdue",
    "parse_load_header",
    "parse_rate_limit",
    "parse_warmup",
    "select_candidate",
    "select_hedge_candidate",
]
