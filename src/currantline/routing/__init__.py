"""Which service a request belongs to and what may be done with it."""

from currantline.routing._budget import RetryBudget, RetryTerms
from currantline.routing._model import CallerLimits, Route, RoutedService, Share
from currantline.routing._patience import CallerPatience
from currantline.routing._table import RouteTable, choose_service

__all__ = [
    "CallerLimits",
    "CallerPatience",
    "RetryBudget",
    "RetryTerms",
    "Route",
    "RouteTable",
    "RoutedService",
    "Share",
    "choose_service",
]
