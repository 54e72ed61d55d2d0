"""A randomised run of real processes on loopback with faults from outside."""

from currantline.soak._promises import Promises
from currantline.soak._proxy import Proxy, ProxyMode
from currantline.soak._run import run_soak

__all__ = ["Promises", "Proxy", "ProxyMode", "run_soak"]
