"""A target as published on the platform, and its state in an instance."""

import math
import re
from typing import Any

import attrs

from currantline.exceptions import InvalidValueError
from currantline.placement._load_report import LoadReport
from currantline.placement._passive_health import PassiveHealth
from currantline.placement._rate_limit import RateLimit
from currantline.placement._stated_availability import StatedAvailability
from currantline.placement._warmup import WarmupBound
from currantline.validators import check_address, check_not_negative

__all__ = ["PublishedTarget", "Target"]

# An end of a warm-up that is later by less than this is no news, in milliseconds. Two
# statements of the same end differ by the time that the messages took.
WARMUP_TOLERANCE_MS = 200.0

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
        Time at which the warm-up that the entry names ends, in milliseconds.
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
    denied_rank : int
        Rank of the request for which a permit of the cold target was denied last.
    stated : StatedAvailability
        What this start of the target has said of its availability.
    is_evacuated : bool
        Whether its data centre is evacuated.
    warmup_bound : WarmupBound or None
        Bound on the requests while it warms up, None if the service has none.
    added_ms : float
        Time at which this instance learned of this start of the target, in
        milliseconds.
    checked_ms : float
        Time of the latest health check that it responded to, in milliseconds.
    is_noted_cold : bool
        Whether the log says that it is cold.
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
    denied_rank: int = 0
    stated: StatedAvailability = attrs.field(factory=StatedAvailability)
    is_evacuated: bool = False
    warmup_bound: WarmupBound | None = None
    added_ms: float = -math.inf
    checked_ms: float = -math.inf
    is_noted_cold: bool = False

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

    @property
    def cold_until_ms(self) -> float:
        """Time at which the warm-up ends, in milliseconds."""
        return max(self.warmup_end_ms, self.stated.warmup_end_ms)

    def is_cold(self, now: float) -> bool:
        """Return whether each request needs a permit because the target warms up."""
        return self.warmup_bound is not None and now < self.cold_until_ms

    def is_cold_by_entry(self, now: float) -> bool:
        """Return whether it is cold by its entry, and no health check has shown it yet.

        An entry may be old when it is read.
        """
        is_checked = self.checked_ms > self.stated.warmup_learned_ms
        is_stated = now < self.stated.warmup_end_ms
        return self.is_cold(now) and not (is_checked or is_stated)

    def apply_warmup_bound(self, bound: WarmupBound | None, now: float) -> None:
        """Set the bound on the requests while the target warms up, None for none."""
        was_cold = self.is_cold(now)
        self.warmup_bound = bound
        if bound is not None:
            self.warmup_end_ms = min(self.warmup_end_ms, now + bound.warmup_ms)
        if self.is_cold(now) and not was_cold:
            self.stated.cold_since_ms = self.stated.warmup_learned_ms = now

    def apply_entry(self, entry: PublishedTarget, now: float) -> None:
        """Replace the entry. With a bound it only extends a known warm-up."""
        self.published = entry
        if self.warmup_bound is None:
            self.warmup_end_ms = now + entry.warmup_ms
        elif entry.warmup_ms > 0.0:
            if not self.is_cold(now):
                self.stated.cold_since_ms = now
            self.stated.warmup_learned_ms = now
            left_ms = min(entry.warmup_ms, self.warmup_bound.warmup_ms)
            self.warmup_end_ms = max(self.warmup_end_ms, now + left_ms)

    def learn_from_peer(self, left_ms: float, now: float) -> bool:
        """Record a warm-up that another instance reports; return whether it is news.

        Parameters
        ----------
        left_ms : float
            Remaining time in milliseconds.
        now : float
            Current time in milliseconds.
        """
        return self._extend_warmup(left_ms, now, self.cold_until_ms)

    def learn_from_check(
        self, left_ms: float | None, requested_ms: float, now: float
    ) -> bool:
        """Record what a health response says; return whether it names news.

        A check that was sent after everything known was learned is the latest state,
        and may also shorten a warm-up: an entry may be old when it is read. A response
        that names no time ends only what an entry named.

        Parameters
        ----------
        left_ms : float or None
            Remaining warm-up time in milliseconds, None if the response names none.
        requested_ms : float
            Time at which the check was sent, in milliseconds.
        now : float
            Current time in milliseconds.
        """
        self.checked_ms = max(self.checked_ms, requested_ms)
        previous_end_ms = self.cold_until_ms
        is_latest = requested_ms > self.stated.warmup_learned_ms
        if is_latest and (left_ms is not None or now >= self.stated.warmup_end_ms):
            self.warmup_end_ms = min(self.warmup_end_ms, now)
            self.stated.warmup_end_ms = min(self.stated.warmup_end_ms, now)
        return self._extend_warmup(left_ms or 0.0, now, previous_end_ms)

    def _extend_warmup(
        self, left_ms: float, now: float, previous_end_ms: float
    ) -> bool:
        if self.warmup_bound is None or left_ms <= 0.0:
            return False
        end_ms = now + min(left_ms, self.warmup_bound.warmup_ms)
        if previous_end_ms <= now:
            self.stated.cold_since_ms = now
        self.stated.warmup_learned_ms = now
        self.stated.warmup_end_ms = max(self.stated.warmup_end_ms, end_ms)
        is_later = end_ms > previous_end_ms + WARMUP_TOLERANCE_MS
        return previous_end_ms <= now or is_later

    def count_in_flight(self, since_ms: float) -> int:
        """Return the number of own requests in flight sent at or after a time."""
        return sum(1 for sent in self.send_times_ms if sent >= since_ms)
