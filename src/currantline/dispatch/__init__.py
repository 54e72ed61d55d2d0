"""Which slot of which target a request gets."""

from currantline.dispatch._counts import PoolCounts, ServiceCounts
from currantline.dispatch._dispatcher import Dispatcher
from currantline.dispatch._local import LocalPlacement
from currantline.dispatch._messages import (
    Demand,
    Effect,
    Lend,
    Message,
    Refuse,
    Renew,
    Return,
    Send,
    Start,
    Usage,
)
from currantline.dispatch._options import DispatchOptions
from currantline.dispatch._retry import RetryBudget
from currantline.dispatch._task import DispatchTask

__all__ = [
    "Demand",
    "DispatchOptions",
    "DispatchTask",
    "Dispatcher",
    "Effect",
    "Lend",
    "LocalPlacement",
    "Message",
    "PoolCounts",
    "Refuse",
    "Renew",
    "RetryBudget",
    "Return",
    "Send",
    "ServiceCounts",
    "Start",
    "Usage",
]
