"""Options of membership."""

import attrs

from currantline.validators import check_at_least

__all__ = ["MembershipOptions"]


@attrs.frozen(kw_only=True)
class MembershipOptions:
    """Times and counts of membership.

    Parameters
    ----------
    gossip_interval_ms : float
        Time between two exchanges started by an instance.
    suspect_ms : float
        Time without a heartbeat increment after which its instance is suspect.
    dead_ms : float
        Time without a heartbeat increment after which its instance is dead.
    removal_ms : float
        Time without a heartbeat increment after which its row is removed.
    pause_ms : float
        Delay between two ticks, beyond the interval, that counts as a pause.
    view_lease_ms : float
        Time for which an acknowledgement of a view binds its sender.
    lease_margin_ms : float
        Part of `view_lease_ms` that is not used, for clocks of different speed and
        for the time between the check and the use of the lease.
    list_retention_ms : float
        Time for which an entry removed from the published list is retained, and for
        which an entry must be listed before its acknowledgement counts.
    list_interval_ms : float
        Time between two reads of the published list.
    list_timeout_ms : float
        Maximum time of one read of the published list.
    list_backoff_ms : float
        Maximum time between two reads while they fail.
    join_timeout_ms : float
        Time after which a starting instance no longer requires a ready peer, or a
        response from every listed one; a majority is then enough.
    outside_view_ratio : float
        Ratio of exchanges with suspect instances and those outside the view.
    """

    gossip_interval_ms: float = attrs.field(default=250.0, validator=check_at_least(1))
    suspect_ms: float = 1500.0
    dead_ms: float = 2500.0
    # Long enough for a partition of seconds to keep the addresses of the other side.
    removal_ms: float = 60_000.0
    pause_ms: float = 1000.0
    view_lease_ms: float = 2000.0
    lease_margin_ms: float = 200.0
    list_retention_ms: float = 60_000.0
    list_interval_ms: float = 1000.0
    list_timeout_ms: float = 2000.0
    list_backoff_ms: float = 10_000.0
    join_timeout_ms: float = 10_000.0
    # One exchange in eight is one every 2 s: a healed partition of 19 instances is
    # found within a fraction of a second, for 1/8 of the traffic.
    outside_view_ratio: float = 0.125
