"""One target as it is published, and as an instance knows it."""

import attrs

from currantline.placement._passive_health import PassiveHealth

__all__ = ["PublishedTarget", "Target"]


@attrs.frozen(kw_only=True)
class PublishedTarget:
    """A target's own entry on the platform.

    Parameters
    ----------
    name : str
        Name of the target.
    started_unix_ms : int
        Time of its start in Unix milliseconds; 0 if not published.
    address : str
        IP number and port.
    service : str
        Service that it belongs to.
    data_centre : str
        Data centre that it stands in.
    slots : int
        Requests that it works on at the same time.
    is_draining : bool
        Whether it takes no new work.
    warmup_ms : float
        Time in milliseconds for which it stays slow after its start.
    """

    name: str
    started_unix_ms: int = 0
    address: str
    service: str
    data_centre: str
    slots: int
    is_draining: bool = False
    warmup_ms: float = 0.0


@attrs.define(eq=False)
class Target:
    """A target and what this instance knows of it.

    Parameters
    ----------
    published : PublishedTarget
        Its entry.
    warmup_end_ms : float
        Time from which it works at full speed, in milliseconds.
    standing : Standing
        Failures and slowness that this instance has seen.
    send_times_ms : list of float
        Times of the requests that this instance has in flight there.
    is_address_reused : bool
        Whether another target answers at its address.
    skip_until_ms : float
        Time until which it is not asked, because it was full.
    """

    published: PublishedTarget
    warmup_end_ms: float = 0.0
    passive_health: PassiveHealth = attrs.field(factory=PassiveHealth)
    send_times_ms: list[float] = attrs.field(factory=list)
    is_address_reused: bool = False
    skip_until_ms: float = 0.0

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.published.name

    @property
    def address(self) -> str:
        """IP number and port."""
        return self.published.address

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent."""
        return not (self.published.is_draining or self.is_address_reused)

    def count_in_flight(self, since_ms: float) -> int:
        """Return the own requests in flight that were sent after a time."""
        return sum(1 for sent in self.send_times_ms if sent >= since_ms)
