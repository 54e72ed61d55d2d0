"""Randomised fault-injection test of real processes on the loopback interface."""

from currantline.soak._guarantees import GuaranteeChecker
from currantline.soak._proxy import Proxy, ProxyMode
from currantline.soak._run import run_soak

__all__ = ["GuaranteeChecker", "Proxy", "ProxyMode", "run_soak"]
