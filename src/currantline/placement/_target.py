"""A target as published on the platform, and its state in an instance."""

import re
from typing import Any

import attrs

from currantline.exceptions import InvalidValueError
from currantline.placement._load_report import LoadReport
from currantline.placement._passive_health import PassiveHealth
from currantline.placement._rate_limit import RateLimit
from currantline.placement._stated_availability import StatedAvailability
from currantline.validators import check_address, check_not_negative

__all__ = ["PublishedTarget", "Target"]

# Names are sent in a header.
NAME_PATTERN = re.compile(r"[!-~]{1,200}")


def _check_name(instance: Any, attribute: "attrs.Attribute[str]", value: str) -> None:
    if not NAME_PATTERN.fullmatch(value):
        raise InvalidValueError(f"{value!r:.80} is not a name", path=attribute.name)


@attrs.frozen(kw_only=True)
class PublishedTarget:
    """Entry that a target publishes on the platform.

    Parameters
    ----------
    name : str
        Name of the target.
    started_unix_ms : int
        Start time in Unix milliseconds; 0 if not published.
    address : str
        IP address and port.
    service : str
        Service that the target provides.
    data_centre : str
        Data centre of the target.
    slots : int
        Maximum number of requests processed concurrently.
    is_draining : bool
        Whether the target accepts no new requests.
    warmup_ms : float
        Remaining warm-up time in milliseconds.
    sequence : int or None
        Number of the entry among those of the same start; None if not published.

    Raises
    ------
    InvalidValueError
        If the name, the address or the warm-up time cannot be used.
    """

    name: str = attrs.field(validator=_check_name)
    started_unix_ms: int = 0
    address: str = attrs.field(validator=check_address)
    service: str
    data_centre: str
    slots: int
    is_draining: bool = False
    warmup_ms: float = attrs.field(default=0.0, validator=check_not_negative)
    sequence: int | None = None


@attrs.define(eq=False)
class Target:
    """A target and the state that this instance keeps for it.

    Parameters
    ----------
    published : PublishedTarget
        Entry on the platform.
    warmup_end_ms : float
        Time at which the warm-up ends, in milliseconds.
    passive_health : PassiveHealth
        Failures and slowness that this instance has observed.
    send_times_ms : list of float
        Send times of the requests that this instance has in flight to the target.
    is_address_reused : bool
        Whether another target responds at the address.
    skip_until_ms : float
        Time until which the target is not probed, since it was full or a probe failed.
    last_report : LoadReport or None
        Latest load report, from a health check or from a response to a request.
    rate_limit : RateLimit
        Limit of requests that the target names.
    next_permit_ms : float
        Time until which permits for the target are expected to be used up.
    stated : StatedAvailability
        What this start of the target has said of its availability.
    """

    published: PublishedTarget
    warmup_end_ms: float = 0.0
    passive_health: PassiveHealth = attrs.field(factory=PassiveHealth)
    send_times_ms: list[float] = attrs.field(factory=list)
    is_address_reused: bool = False
    skip_until_ms: float = 0.0
    last_report: LoadReport | None = None
    rate_limit: RateLimit = attrs.field(factory=RateLimit)
    next_permit_ms: float = 0.0
    stated: StatedAvailability = attrs.field(factory=StatedAvailability)

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.published.name

    @property
    def address(self) -> str:
        """IP address and port."""
        return self.published.address

    @property
    def is_rate_limited(self) -> bool:
        """Whether the target limits the requests of the fleet."""
        return self.rate_limit.per_s is not None

    def count_in_flight(self, since_ms: float) -> int:
        """Return the number of own requests in flight sent at or after a time."""
        return sum(1 for sent in self.send_times_ms if sent >= since_ms)
