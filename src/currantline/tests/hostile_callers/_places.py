"""Places at which an instance takes requests."""

import pytest

from currantline.platform.samples import READINESS_PATH
from currantline.tests.hostile_callers._instance import CALLERS, OWN_PORTS, Port

__all__ = ["AT_CALLER_PLACES", "AT_OWN_PORTS", "AT_PLACES", "ROUTE_PATH"]

ROUTE_PATH = "/read/x"

# Paths on the callers' port: at a route, without a route and that of the readiness.
_CALLER_PLACES: list[tuple[Port, str]] = [
    (CALLERS, ROUTE_PATH),
    (CALLERS, "/nowhere"),
    (CALLERS, READINESS_PATH),
]
_OWN_PLACES = [(port, port.path) for port in OWN_PORTS]
_OWN_NAMES = [port.name for port in OWN_PORTS]
_CALLER_NAMES = ["route", "no-route", "readiness-path"]

AT_CALLER_PLACES = pytest.mark.parametrize(
    ("port", "path"), _CALLER_PLACES, ids=_CALLER_NAMES
)
AT_OWN_PORTS = pytest.mark.parametrize(("port", "path"), _OWN_PLACES, ids=_OWN_NAMES)
AT_PLACES = pytest.mark.parametrize(
    ("port", "path"), _CALLER_PLACES + _OWN_PLACES, ids=_CALLER_NAMES + _OWN_NAMES
)
