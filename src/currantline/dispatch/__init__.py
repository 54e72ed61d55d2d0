"""Assignment of requests to slots of targets."""

from typing import TYPE_CHECKING

from currantline.dispatch._counts import PoolTotals, ServiceCounts
from currantline.dispatch._dispatcher import Dispatcher
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
from currantline.dispatch._retry import RetryBudget, RetryBudgets
from currantline.lazy import import_lazily

if TYPE_CHECKING:
    from currantline.dispatch._local import LocalPlacement
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
    "PoolTotals",
    "Refuse",
    "Renew",
    "RetryBudget",
    "RetryBudgets",
    "Return",
    "Send",
    "ServiceCounts",
    "Start",
    "Usage",
]

# Modules that need asyncio are imported on first use, so that the decision cores
# can be used without them. mypy would accept any name if it saw `__getattr__`.
if not TYPE_CHECKING:
    __getattr__ = import_lazily(
        __name__,
        {
            "_local": ("LocalPlacement",),
            "_task": ("DispatchTask",),
        },
    )
