"""Health, readiness, metrics and status for operators."""

from currantline.operator._metrics import Metrics
from currantline.operator._service import (
    OperatorService,
    OperatorSources,
    Readiness,
)

__all__ = ["Metrics", "OperatorService", "OperatorSources", "Readiness"]
