"""Reverse proxy: forwards caller requests to targets and returns the responses."""

from currantline.relay._availability_reader import AvailabilityReader
from currantline.relay._body_budget import find_max_bytes_held
from currantline.relay._cold_targets import ColdTargetSelector
from currantline.relay._hedger import Hedger
from currantline.relay._limit_reader import RateLimitReader
from currantline.relay._limited_targets import LimitedTargetSelector
from currantline.relay._names import HeaderNames
from currantline.relay._pool import ConnectionPool, find_max_idle
from currantline.relay._prober import LoadProber
from currantline.relay._relay import Relay
from currantline.relay._repeats import RepeatLimiter
from currantline.relay._responses import NOT_RUN_STATUSES
from currantline.relay._selector import TargetSelector
from currantline.relay._sender import Sender
from currantline.relay._server import RelayServer
from currantline.relay._warmup_reader import WarmupReader

__all__ = [
    "NOT_RUN_STATUSES",
    "AvailabilityReader",
    "ColdTargetSelector",
    "ConnectionPool",
    "HeaderNames",
    "Hedger",
    "LimitedTargetSelector",
    "LoadProber",
    "RateLimitReader",
    "Relay",
    "RelayServer",
    "RepeatLimiter",
    "Sender",
    "TargetSelector",
    "WarmupReader",
    "find_max_bytes_held",
    "find_max_idle",
]
