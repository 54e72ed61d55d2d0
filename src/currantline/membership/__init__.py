"""Liveness of instances, readiness, the view lease and rendezvous hashing."""

from typing import TYPE_CHECKING

from currantline.lazy import import_lazily
from currantline.membership._contact import Contact
from currantline.membership._entry import InstanceEntry, Status, View
from currantline.membership._gossip import (
    FullRow,
    Gossip,
    GossipRow,
    GossipState,
    row_key,
)
from currantline.membership._lease import ViewLease, combine_digest
from currantline.membership._options import MembershipOptions
from currantline.membership._readiness import Decision, Readiness
from currantline.membership._rendezvous import rank, rendezvous_score
from currantline.membership._table import GossipTable

if TYPE_CHECKING:
    from currantline.membership._published import (
        ListedInstance,
        ListedTarget,
        ListHistory,
        ListReader,
        PublishedList,
        parse_list,
    )
    from currantline.membership._task import (
        GossipTransport,
        MembershipTask,
        ViewChanged,
    )

__all__ = [
    "Contact",
    "Decision",
    "FullRow",
    "Gossip",
    "GossipRow",
    "GossipState",
    "GossipTable",
    "GossipTransport",
    "InstanceEntry",
    "ListHistory",
    "ListReader",
    "ListedInstance",
    "ListedTarget",
    "MembershipOptions",
    "MembershipTask",
    "PublishedList",
    "Readiness",
    "Status",
    "View",
    "ViewChanged",
    "ViewLease",
    "combine_digest",
    "parse_list",
    "rank",
    "rendezvous_score",
    "row_key",
]

# Modules with tasks and sockets are imported on first use, so that the decision logic
# of this package can be used without them. mypy must not see the `__getattr__`: it
# would accept any name.
if not TYPE_CHECKING:
    __getattr__ = import_lazily(
        __name__,
        {
            "_published": (
                "ListedInstance",
                "ListedTarget",
                "ListHistory",
                "ListReader",
                "PublishedList",
                "parse_list",
            ),
            "_task": (
                "GossipTransport",
                "MembershipTask",
                "ViewChanged",
            ),
        },
    )
