"""Request routing: route table, traffic split, retry budget and caller limits."""

from currantline.routing._budget import RetryBudget, RetryBudgetOptions
from currantline.routing._model import (
    CallerLimits,
    Route,
    RoutedService,
    WeightedService,
)
from currantline.routing._request_age import RequestAgeEstimator
from currantline.routing._table import RouteTable, choose_service

__all__ = [
    "CallerLimits",
    "RequestAgeEstimator",
    "RetryBudget",
    "RetryBudgetOptions",
    "Route",
    "RouteTable",
    "RoutedService",
    "WeightedService",
    "choose_service",
]
