"""Where a request goes: targets, what is known of them, and the choice."""

from currantline.placement._admission import (
    Timed,
    find_refusal,
    has_good,
    is_overdue,
    select,
    select_spare,
)
from currantline.placement._asking import choose_to_ask
from currantline.placement._choice import (
    Candidate,
    choose,
    count_useful_slots,
    estimate_ms,
)
from currantline.placement._reading import Reading, parse_load
from currantline.placement._standing import Standing
from currantline.placement._target import PublishedTarget, Target
from currantline.placement._targets import Targets
from currantline.placement._typical import TypicalTimes

__all__ = [
    "Candidate",
    "PublishedTarget",
    "Reading",
    "Standing",
    "Target",
    "Targets",
    "Timed",
    "TypicalTimes",
    "choose",
    "choose_to_ask",
    "count_useful_slots",
    "estimate_ms",
    "find_refusal",
    "has_good",
    "is_overdue",
    "parse_load",
    "select",
    "select_spare",
]
