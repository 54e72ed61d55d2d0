"""Validators for attrs fields."""

import ipaddress
import math
from typing import Any

import attrs

from currantline.exceptions import InvalidValueError

__all__ = [
    "check_address",
    "check_at_least",
    "check_ip",
    "check_not_negative",
    "check_port",
    "check_positive",
    "is_address",
    "is_ip",
    "parse_amount",
]

MAX_PORT = 65_535


def is_ip(value: str) -> bool:
    """Return whether a value is an IP address and not a name."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def is_address(value: str) -> bool:
    """Return whether a value is ``ip:port``.

    Examples
    --------
    >>> [is_address(value) for value in ("127.0.0.1:80", "127.0.0.1:0", "a:80")]
    [True, False, False]
    """
    host, _, port = value.rpartition(":")
    try:
        return is_ip(host.strip("[]")) and 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def check_address(instance: Any, attribute: "attrs.Attribute[str]", value: str) -> None:
    """Check that a value is ``ip:port``.

    Raises
    ------
    InvalidValueError
        If the host is not an IP address or the port is outside 1 to 65,535.
    """
    if not is_address(value):
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


def check_not_negative(
    instance: Any, attribute: "attrs.Attribute[float]", value: float
) -> None:
    """Check that a number is finite and at least 0.

    Raises
    ------
    InvalidValueError
        If it is not.
    """
    if not 0.0 <= value < math.inf:
        raise InvalidValueError(
            f"{value!r:.80} is not a finite number of at least 0", path=attribute.name
        )


def check_positive(
    instance: Any, attribute: "attrs.Attribute[float]", value: float
) -> None:
    """Check that a number is finite and above 0.

    Raises
    ------
    InvalidValueError
        If it is not.
    """
    if not 0.0 < value < math.inf:
        raise InvalidValueError(
            f"{value!r:.80} is not a finite number above 0", path=attribute.name
        )


def check_ip(instance: Any, attribute: "attrs.Attribute[str]", value: str) -> None:
    """Check that a value is an IP address.

    Raises
    ------
    InvalidValueError
        If it is not.
    """
    if not is_ip(value):
        raise InvalidValueError(
            f"{value!r:.80} is not an IP address", path=attribute.name
        )


def check_port(instance: Any, attribute: "attrs.Attribute[int]", value: int) -> None:
    """Check that a number is a port.

    Raises
    ------
    InvalidValueError
        If it is outside 1 to 65,535.
    """
    if not 0 < value <= MAX_PORT:
        raise InvalidValueError(f"{value} is not a port", path=attribute.name)


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
