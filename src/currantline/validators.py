"""Validators for attrs fields."""

import ipaddress
import math
from typing import Any

import attrs

from currantline.exceptions import InvalidValueError

__all__ = ["check_address", "check_at_least", "check_finite", "parse_amount"]


def check_address(instance: Any, attribute: "attrs.Attribute[str]", value: str) -> None:
    """Check that a value is ``ip:port``.

    Raises
    ------
    InvalidValueError
        If the host is not an IP address or the port is outside 1 to 65,535.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        is_valid = 0 < int(port) < 65536
    except ValueError:
        is_valid = False
    if not is_valid:
        raise InvalidValueError(
            f"{value!r:.80} is not an IP address and a port such as 127.0.0.1:8080",
            path=attribute.name,
        )


def check_at_least(minimum: float) -> Any:
    """Return a validator that requires a number of at least ``minimum``."""

    def check(instance: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
        if value < minimum:
            raise InvalidValueError(
                f"{value!r} is below the minimum of {minimum}", path=attribute.name
            )

    return check


def check_finite(
    instance: Any, attribute: "attrs.Attribute[float]", value: float
) -> None:
    """Check that a number is finite.

    Raises
    ------
    InvalidValueError
        If it is infinite or not a number.
    """
    if not math.isfinite(value):
        raise InvalidValueError(f"{value!r} is not finite", path=attribute.name)


def parse_amount(value: str) -> float:
    """Return the finite number of at least 0 that a text states.

    Raises
    ------
    InvalidValueError
        If it states no such number.

    Examples
    --------
    >>> parse_amount("2.9")
    2.9
    """
    try:
        amount = float(value)
    except ValueError as error:
        raise InvalidValueError(f"{value!r:.80} is not a number") from error
    if not math.isfinite(amount) or amount < 0:
        raise InvalidValueError(f"{value!r:.80} is out of range")
    return amount
