"""The configuration: its model, its versions, and how it spreads."""

from currantline.configuration._model import (
    Configuration,
    Priority,
    Route,
    Service,
    Target,
)
from currantline.configuration._parse import (
    build_configuration,
    parse_configuration,
    render_configuration,
)

__all__ = [
    "Configuration",
    "Priority",
    "Route",
    "Service",
    "Target",
    "build_configuration",
    "parse_configuration",
    "render_configuration",
]
